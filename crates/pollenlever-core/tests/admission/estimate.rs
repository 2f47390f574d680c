use std::time::Duration;

use pollenlever_core::admission::{
    Admission, AdmissionSettings, PriorityAdmission, RunOutcome, Ticket, Verdict,
};
use pollenlever_core::config::Importance;

const DEADLINE: Duration = Duration::from_secs(5);

fn ticket(id: u64, now: Duration) -> Ticket {
    Ticket {
        id,
        service: "balance".into(),
        importance: Importance::Normal,
        chain: "127.0.0.1:7101@1f~2a".parse().unwrap(),
        depth: 0,
        workspace: "bologna".into(),
        deadline: now + DEADLINE,
    }
}

/// One run times out at its deadline and the next is answered quickly. The estimate of the service
/// time must then be low enough that a third request is not refused as too slow for its deadline.
#[test]
fn a_timed_out_run_does_not_shed_requests_after_an_answered_one() {
    let mut admission = PriorityAdmission::new(AdmissionSettings::default());
    let mut verdicts = Vec::new();
    admission.set_slots(Duration::ZERO, 4);
    admission.offer(Duration::ZERO, ticket(1, Duration::ZERO), &mut verdicts);
    let timed_out = DEADLINE + Duration::from_millis(3);
    admission.record_finished(timed_out, 1, timed_out, RunOutcome::Failed, &mut verdicts);
    let later = timed_out + Duration::from_secs(3);
    admission.offer(later, ticket(2, later), &mut verdicts);
    let ended = later + Duration::from_millis(10);
    admission.record_finished(
        ended,
        2,
        Duration::from_millis(10),
        RunOutcome::Answered,
        &mut verdicts,
    );
    admission.offer(ended, ticket(3, ended), &mut verdicts);
    assert_eq!(verdicts, [Verdict::Run(1), Verdict::Run(2), Verdict::Run(3)]);
}
