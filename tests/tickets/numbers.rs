//! Who gets a number, and what a resent ticket is told.

use std::time::Duration;

use super::{ALL, accepted, objects, start, ticket};

/// Guards against two operators who both believe that their ticket has the number.
#[tokio::test(flavor = "multi_thread")]
async fn one_of_two_operators_gets_the_number() {
    let deployment = start().await;
    for number in 1..=30 {
        let tickets = [ticket(number, "ada"), ticket(number, "bo")];
        let (ada, bo) = tokio::join!(
            deployment.submit_to(&ALL, &tickets[0]),
            deployment.submit_to(&ALL, &tickets[1])
        );
        let answers = [ada.unwrap(), bo.unwrap()];
        let winner = usize::from(answers[0].0 != 200);
        accepted(&answers[winner]);
        let (status, body) = &answers[1 - winner];
        assert_eq!(
            (*status, &body["error"]),
            (409, &"number-taken".into()),
            "{body}"
        );
        assert_eq!(body["holder"], tickets[winner], "the wrong holder is shown");
        let kept = objects(&deployment, &ALL, number).await;
        assert_eq!(kept, tickets[winner]["objects"]);
    }
}

/// Guards against a ticket that takes effect twice, or gets another answer, when the
/// first answer was lost.
#[tokio::test(flavor = "multi_thread")]
async fn a_resent_ticket_gets_the_same_answer() {
    let mut deployment = start().await;
    for number in 1..=12 {
        let sent = ticket(number, "ada");
        let leader = deployment.wait_leader(&ALL).await.unwrap();
        // The answer is lost at another point each time.
        let limit = Duration::from_micros(500 * number);
        let lost = deployment.post_ticket(leader, &sent, limit).await;
        if number % 4 == 0 {
            deployment.kill_control(leader);
        }
        let first = deployment.submit_to(&ALL, &sent).await.unwrap();
        let version = accepted(&first);
        if let Some(answer) = lost.filter(|answer| answer.0 == 200) {
            assert_eq!(accepted(&answer), version);
            assert_eq!(first.1["repeated"], true, "{first:?}");
        }
        if deployment.control(leader).is_none() {
            deployment.start_control(leader).unwrap();
        }
        let again = deployment.submit_to(&ALL, &sent).await.unwrap();
        assert_eq!(
            (accepted(&again), &again.1["repeated"]),
            (version, &true.into())
        );
        let list = deployment.query(&ALL, "/v1/tickets").await.unwrap();
        assert_eq!(list["next"], number + 1, "the ticket took effect twice");
    }
}

/// Guards against a number that is given away again or left out, also by a new leader
/// and by replicas that have just started.
#[tokio::test(flavor = "multi_thread")]
async fn a_number_is_neither_reused_nor_left_out() {
    let mut deployment = start().await;
    for number in 1..=3 {
        accepted(
            &deployment
                .submit_to(&ALL, &ticket(number, "ada"))
                .await
                .unwrap(),
        );
    }
    for round in 0..3 {
        let (status, body) = deployment.submit_to(&ALL, &ticket(2, "bo")).await.unwrap();
        assert_eq!(
            (status, &body["error"]),
            (409, &"number-taken".into()),
            "{body}"
        );
        assert_eq!(body["holder"], ticket(2, "ada"));
        for wrong in [5, 9] {
            let (status, body) = deployment
                .submit_to(&ALL, &ticket(wrong, "bo"))
                .await
                .unwrap();
            assert_eq!(
                (status, &body["error"]),
                (409, &"number-out-of-order".into()),
                "{body}"
            );
            assert_eq!(body["next"], 4);
        }
        let leader = deployment.wait_leader(&ALL).await.unwrap();
        let lost = ALL.into_iter().filter(|one| round == 1 || *one == leader);
        for replica in lost.clone() {
            deployment.kill_control(replica);
        }
        for replica in lost {
            deployment.start_control(replica).unwrap();
        }
    }
    accepted(&deployment.submit_to(&ALL, &ticket(4, "bo")).await.unwrap());
}
