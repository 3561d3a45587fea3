//! Members of a group whose VMs are lost, return, lose their disks, and are replaced at other addresses.

#[path = "membership/world.rs"]
mod world;

/// Plays losses on a group that has formed, then lets all VMs return.
fn play<Losses>(vms: usize, tolerated: usize, losses: Losses) -> Result<(), String>
where
    Losses: Fn(&mut world::World) -> Result<(), String>,
{
    let mut world = world::World::new(vms, tolerated, 0);
    let result = world.run(12_000).and_then(|()| losses(&mut world));
    let result = result.and_then(|()| world.recover());
    result.map_err(|violation| format!("{vms} VMs: {violation}\n{}", world.trace()))
}

/// Guards against silent voters that are removed so that the group no longer bears the loss of disks:
/// as many voters as tolerated are down, and as many others lose their disks.
#[test]
fn voters_that_are_down_vote_when_they_return() {
    for (vms, tolerated) in [(3, 1), (5, 1), (6, 2), (7, 2), (8, 2), (8, 3), (10, 2)] {
        for down_ms in [3_000, 10_000, 30_000, 60_000] {
            let result = play(vms, tolerated, |world| {
                for vm in vms - tolerated..vms {
                    world.kill(vm, None);
                }
                world.run(down_ms)?;
                for vm in 0..tolerated {
                    world.wipe(vm, 500);
                }
                world.run(1_000)
            });
            assert_eq!(result, Ok(()), "down for {down_ms} ms");
        }
    }
}
