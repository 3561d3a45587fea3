//! Which ticket gets a number, and the answers to retried tickets.

use std::time::Duration;

use super::{REPLICAS, assert_accepted, objects, start_deployment, ticket};

/// Guards against two operators who submit tickets with one number and are both told that
/// theirs is accepted.
#[tokio::test(flavor = "multi_thread")]
async fn only_one_of_two_tickets_gets_the_number() {
    let deployment = start_deployment().await;
    for number in 1..=30 {
        let tickets = [ticket(number, "ada"), ticket(number, "bo")];
        let (ada, bo) = tokio::join!(
            deployment.submit_to(&REPLICAS, &tickets[0]),
            deployment.submit_to(&REPLICAS, &tickets[1])
        );
        let answers = [ada.unwrap(), bo.unwrap()];
        let winner = usize::from(answers[0].0 != 200);
        assert_accepted(&answers[winner]);
        let (status, body) = &answers[1 - winner];
        assert_eq!(
            (*status, &body["error"]),
            (409, &"number-taken".into()),
            "{body}"
        );
        assert_eq!(body["holder"], tickets[winner], "the wrong holder is shown");
        let stored = objects(&deployment, &REPLICAS, number).await;
        assert_eq!(stored, tickets[winner]["objects"]);
    }
}

/// Guards against a ticket that takes effect twice, or gets a different answer, when it is
/// retried after its answer was lost.
#[tokio::test(flavor = "multi_thread")]
async fn a_retried_ticket_gets_the_same_answer() {
    let mut deployment = start_deployment().await;
    for number in 1..=12 {
        let sent = ticket(number, "ada");
        let leader = deployment.wait_leader(&REPLICAS).await.unwrap();
        // The timeout ends the submission at a different point each time.
        let timeout = Duration::from_micros(500 * number);
        let lost = deployment.post_ticket(leader, &sent, timeout).await;
        if number % 4 == 0 {
            deployment.kill_control(leader);
        }
        let first = deployment.submit_to(&REPLICAS, &sent).await.unwrap();
        let version = assert_accepted(&first);
        if let Some(answer) = lost.filter(|answer| answer.0 == 200) {
            assert_eq!(assert_accepted(&answer), version);
            assert_eq!(first.1["repeated"], true, "{first:?}");
        }
        if deployment.control(leader).is_none() {
            deployment.start_control(leader).unwrap();
        }
        let retried = deployment.submit_to(&REPLICAS, &sent).await.unwrap();
        assert_eq!(
            (assert_accepted(&retried), &retried.1["repeated"]),
            (version, &true.into())
        );
        let listing = deployment.query(&REPLICAS, "/v1/tickets").await.unwrap();
        assert_eq!(listing["next"], number + 1, "the ticket took effect twice");
    }
}

/// Guards against a number that is assigned twice or skipped, also by a new leader and by
/// replicas that have just restarted.
#[tokio::test(flavor = "multi_thread")]
async fn a_number_is_neither_reused_nor_skipped() {
    let mut deployment = start_deployment().await;
    for number in 1..=3 {
        assert_accepted(
            &deployment
                .submit_to(&REPLICAS, &ticket(number, "ada"))
                .await
                .unwrap(),
        );
    }
    for round in 0..3 {
        let (status, body) = deployment
            .submit_to(&REPLICAS, &ticket(2, "bo"))
            .await
            .unwrap();
        assert_eq!(
            (status, &body["error"]),
            (409, &"number-taken".into()),
            "{body}"
        );
        assert_eq!(body["holder"], ticket(2, "ada"));
        for out_of_order in [5, 9] {
            let (status, body) = deployment
                .submit_to(&REPLICAS, &ticket(out_of_order, "bo"))
                .await
                .unwrap();
            assert_eq!(
                (status, &body["error"]),
                (409, &"number-out-of-order".into()),
                "{body}"
            );
            assert_eq!(body["next"], 4);
        }
        let leader = deployment.wait_leader(&REPLICAS).await.unwrap();
        let killed = REPLICAS
            .into_iter()
            .filter(|replica| round == 1 || *replica == leader);
        for replica in killed.clone() {
            deployment.kill_control(replica);
        }
        for replica in killed {
            deployment.start_control(replica).unwrap();
        }
    }
    assert_accepted(
        &deployment
            .submit_to(&REPLICAS, &ticket(4, "bo"))
            .await
            .unwrap(),
    );
}
