//! Cases of the single state machines.

use std::time::Duration;

use pollenlever_core::Timestamp;
use pollenlever_core::answer::ErrorKind;
use pollenlever_core::id::{NodeId, NodeName, WorkspaceName};
use pollenlever_core::quota::*;
use pollenlever_core::workspace::QuotaLimit;

use crate::cases;

cases! {
    a_share_table_splits_all_units => {
        for nodes in [1, 3, 87, 300] {
            let table = ShareTable::create(&names(nodes), 8);
            assert!(table.is_valid());
            assert_eq!(table.holders.len(), nodes.min(MAX_HOLDERS));
            assert_eq!(sum(&table), TOTAL_UNITS);
        }
    };
    each_of_many_new_nodes_gets_units => assert_given();
    a_leaver_hands_back_all_units => {
        let table = ShareTable::create(&names(3), 8);
        let announced = table.hand_back(&name(1), 7, &names(3)).unwrap();
        assert_eq!(announced.units_of(&name(1)), table.units_of(&name(1)));
        let left = announced.hand_back(&name(1), 7, &names(3)).unwrap();
        assert_eq!((left.units_of(&name(1)), sum(&left)), (0, TOTAL_UNITS));
        assert_eq!(left.hand_back(&name(1), 7, &names(3)), None);
        assert_eq!(table.hand_back(&name(1), 7, &[name(1)]), None);
    };
    units_of_a_node_that_is_gone_are_taken_after_half_an_hour => assert_reclaimed();
    a_holder_stops_when_it_cannot_read_the_table => {
        let (holder, _) = delegated();
        assert_eq!(holder.units(secs(25 * 60)), TOTAL_UNITS);
        assert_eq!(holder.units(secs(25 * 60 + 3)), 0);
    };
    a_holder_stays_lowered_until_it_has_read_a_newer_table => {
        let (mut holder, _) = delegated();
        let table = ShareTable::create(&[name(0)], 1);
        holder.lower_to(1, 400);
        holder.on_table(secs(4), 1, &table);
        assert_eq!(holder.units(secs(4)), 400);
        assert!(!holder.is_lowered_to(secs(4), 400));
        holder.on_table(secs(5), 2, &table);
        assert_eq!(holder.units(secs(5)), TOTAL_UNITS);
    };
    a_holder_waits_at_its_start_for_earlier_processes => {
        let mut holder = ShareHolder::new(name(0), 1, secs(0), QuotaSettings::default());
        holder.on_table(secs(1), 1, &ShareTable::create(&[name(0)], 1));
        assert!(!holder.is_lowered_to(secs(1), TOTAL_UNITS));
        assert!(holder.is_lowered_to(secs(3), TOTAL_UNITS));
    };
    a_late_delegation_does_not_undo_a_withdrawal => {
        let (mut holder, mut home) = delegated();
        let late = holder.due(secs(4), |_| id(1)).remove(0).1;
        assert!(late.shards[0].ticket.is_some());
        let withdrawal = holder.withdraw(secs(4)).remove(0).1;
        let reply = home.on_delegation(secs(4), &withdrawal);
        holder.on_reply(secs(4), id(1), &reply);
        assert!(holder.is_withdrawn(secs(4)));
        home.on_delegation(secs(4), &late);
        assert_eq!(home.shards(secs(4)), []);
    };
    units_end_at_the_home_with_their_ticket => {
        let (_, mut home) = delegated();
        assert_eq!(home.shards(secs(4))[0].units, TOTAL_UNITS);
        assert_eq!(home.shards(secs(6)), []);
    };
    tokens_come_only_with_time => {
        let (_, mut home) = delegated();
        assert_eq!(home.on_requests(secs(3), &[wanted(5)])[0].tokens, 0);
        assert_eq!(home.on_requests(secs(4), &[wanted(50)])[0].tokens, 10);
        let refused = &home.on_requests(secs(4), &[wanted(1)])[0];
        assert_eq!((refused.tokens, refused.retry_after), (0, Duration::from_millis(200)));
    };
    units_that_arrive_bring_no_tokens => {
        let (mut holder, mut home) = delegated();
        exchange(secs(9), &mut holder, &mut home);
        exchange(secs(9), &mut holder, &mut home);
        assert_eq!(home.shards(secs(9))[0].units, TOTAL_UNITS);
        assert_eq!(home.on_requests(secs(9), &[wanted(50)])[0].tokens, 0);
    };
    tokens_are_taken_back_once => {
        let (_, mut home) = delegated();
        let grant = home.on_requests(secs(4), &[wanted(5)]).remove(0);
        home.on_requests(secs(4), &[returned(&grant, 2), returned(&grant, 2)]);
        assert_eq!(home.on_requests(secs(4), &[wanted(50)])[0].tokens, 7);
    };
    returned_tokens_do_not_add_up => assert_returns_bounded();
    returned_tokens_are_lost_while_units_are_new => {
        let (_, mut home) = delegated();
        let grant = home.on_requests(millis(3300), &[wanted(3)]).remove(0);
        home.on_requests(millis(3301), &[returned(&grant, 3)]);
        assert_eq!(home.on_requests(millis(3302), &[wanted(50)])[0].tokens, 0);
    };
    a_ticket_of_an_earlier_process_of_the_home_has_no_value => {
        let (mut holder, _) = delegated();
        let delegation = holder.due(secs(4), |_| id(1)).remove(0).1;
        let next = NodeId { incarnation: 9, ..id(1) };
        let mut home = QuotaHome::new(next, QuotaSettings::default());
        home.on_delegation(secs(4), &delegation);
        assert_eq!(home.shards(secs(4)), []);
    };
    a_reply_to_an_earlier_delegation_brings_no_ticket => {
        let (mut holder, mut home) = delegated();
        for (to, delegation) in holder.due(secs(4), |_| id(2)) {
            if to == id(1) {
                holder.on_reply(secs(4), to, &home.on_delegation(secs(4), &delegation));
            }
        }
        holder.due(secs(4), |_| id(1));
        let ticket = Ticket { incarnation: 1, issued: secs(3) };
        let reply = ShareDelegationReply { sequence: 2, tickets: vec![(0, ticket)] };
        holder.on_reply(secs(4), id(1), &reply);
        let next = holder.due(millis(4300), |_| id(1)).remove(0).1;
        assert_eq!(next.shards[0].ticket, None);
    };
    a_late_reply_of_an_earlier_process_does_not_end_a_delegation => {
        let (mut holder, _) = delegated();
        let earlier = NodeId { incarnation: 9, ..id(1) };
        holder.due(secs(4), |_| earlier);
        let ticket = Ticket { incarnation: 9, issued: secs(1) };
        let reply = ShareDelegationReply { sequence: 1, tickets: vec![(0, ticket)] };
        holder.on_reply(secs(4), earlier, &reply);
        holder.withdraw(secs(4));
        assert!(!holder.is_withdrawn(secs(4)));
    };
    a_token_given_back_keeps_its_expiry => {
        let mut store = TokenStore::new(QuotaSettings::default());
        let (req, at) = (store.request(secs(1), &padova(), 1).unwrap(), millis(1400));
        store.on_grant(at, &grant(req.number, 1));
        let TakeResult::Taken(permit) = store.take(at, &padova()) else { panic!("no token") };
        store.give_back(at, permit.clone());
        assert_eq!(store.take(at, &padova()), TakeResult::Taken(permit.clone()));
        store.give_back(at, permit);
        assert_eq!(store.take(millis(1500), &padova()), TakeResult::Ask);
    };
    refused_requests_are_spread => {
        let mut store = TokenStore::new(QuotaSettings::default());
        let req = store.request(secs(1), &padova(), 1).unwrap();
        store.on_grant(secs(1), &grant(req.number, 0));
        let waits = [100, 200, 300].map(|it| TakeResult::Refused {
            error: ErrorKind::WorkspaceLimit,
            retry_after: Duration::from_millis(it),
        });
        assert_eq!([0; 3].map(|_| store.take(secs(1), &padova())), waits);
        assert_eq!(store.take(millis(1100), &padova()), TakeResult::Ask);
    };
}

fn assert_given() {
    let mut table = ShareTable::create(&names(4), 8);
    let mut writes = 0;
    while let Some(next) = names(87).iter().find_map(|it| table.give(it, 7, &names(87))) {
        assert_eq!(sum(&next), TOTAL_UNITS);
        table = next;
        writes += 1;
    }
    let least = names(87).iter().map(|it| table.units_of(it)).min();
    assert!(least > Some(TOTAL_UNITS / 87 / 4 - 1) && writes < 100, "{least:?} {writes}");
}

fn assert_reclaimed() {
    let mut timer = ReclaimTimer::new(QuotaSettings::default());
    let mut table = ShareTable::create(&names(3), 8);
    let mut next = |at, table: &ShareTable| {
        names(2).iter().find_map(|it| timer.next_table(at, table, it, 7, &names(2)))
    };
    assert_eq!(next(secs(0), &table), None);
    table = next(secs(60), &table).unwrap();
    assert_eq!((table.usable_units(&name(2), 1), sum(&table)), (0, TOTAL_UNITS));
    assert_eq!(next(secs(61), &table), None);
    // The holder was not gone and has taken its entry back, so the time starts anew.
    let confirmed = table.confirm(&name(2), 1).unwrap();
    assert_eq!(next(secs(1000), &confirmed), None);
    assert_eq!(next(secs(1100), &table), None);
    assert_eq!(next(secs(2800), &table), None);
    let taken = next(secs(2900), &table).unwrap();
    assert_eq!((taken.units_of(&name(2)), sum(&taken)), (0, TOTAL_UNITS));
}

/// Guards against tokens that are returned and granted again in turn, and so outlive their expiry
/// while the bucket fills.
fn assert_returns_bounded() {
    let (_, mut home) = delegated();
    let mut grants: Vec<TokenGrant> = Vec::new();
    for at in (3500..4900).step_by(50).map(millis) {
        for grant in &mut grants {
            home.on_requests(at, &[returned(grant, grant.tokens)]);
            *grant = home.on_requests(at, &[wanted(grant.tokens)]).remove(0);
        }
        grants.extend(home.on_requests(at, &[wanted(50)]));
        grants.retain(|it| it.tokens > 0);
    }
    let usable: u32 = grants.iter().map(|it| it.tokens).sum();
    assert!(usable <= 10 + 5, "{usable}");
}

/// A holder whose units have all been in force at node 1 since 3 s, for one shard.
fn delegated() -> (ShareHolder, QuotaHome) {
    let mut holder = ShareHolder::new(name(0), 1, secs(0), QuotaSettings::default());
    let mut home = QuotaHome::new(id(1), QuotaSettings::default());
    home.set_limits(secs(0), &[(padova(), QuotaLimit { rate_per_s: 10.0, burst: 10.0 })]);
    holder.on_table(secs(3), 1, &ShareTable::create(&[name(0)], 1));
    exchange(secs(3), &mut holder, &mut home);
    exchange(secs(3), &mut holder, &mut home);
    (holder, home)
}

fn exchange(now: Timestamp, holder: &mut ShareHolder, home: &mut QuotaHome) {
    for (to, delegation) in holder.due(now, |_| id(1)) {
        holder.on_reply(now, to, &home.on_delegation(now, &delegation));
    }
}

fn returned(grant: &TokenGrant, tokens: u32) -> TokenRequest {
    TokenRequest { returned: Some(ReturnedTokens { grant: grant.id, tokens }), ..wanted(0) }
}

fn wanted(wanted: u32) -> TokenRequest {
    TokenRequest { number: 1, workspace: padova(), wanted, prefetch: 0, returned: None }
}

fn grant(number: u64, tokens: u32) -> TokenGrant {
    let wait = Duration::from_millis(if tokens > 0 { 0 } else { 100 });
    TokenGrant {
        number,
        id: GrantId { home: 1, number: 1 },
        workspace: padova(),
        tokens,
        retry_after: wait,
        refill: wait,
        is_unavailable: false,
    }
}

fn padova() -> WorkspaceName {
    "padova".into()
}

fn id(port: u16) -> NodeId {
    NodeId { addr: ([127, 0, 0, 1], port).into(), incarnation: u64::from(port) }
}

fn name(index: usize) -> NodeName {
    format!("n{index}").into()
}

fn names(count: usize) -> Vec<NodeName> {
    (0..count).map(name).collect()
}

fn sum(table: &ShareTable) -> ShareUnits {
    table.holders.values().sum()
}

fn secs(secs: u64) -> Timestamp {
    Duration::from_secs(secs)
}

fn millis(millis: u64) -> Timestamp {
    Duration::from_millis(millis)
}
