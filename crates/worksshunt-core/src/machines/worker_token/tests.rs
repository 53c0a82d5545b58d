//! Tests of `worker_token`: under which token reaps and direct launches are sent.

use super::*;

const TOKENS: FencingTokens = FencingTokens {
    first: FencingToken(11),
    last: FencingToken(13),
};

#[test]
fn a_reap_follows_under_a_higher_token_than_every_direct_launch() {
    let mut token = WorkerToken::new(TOKENS);
    token.raise_for_reap();
    assert_eq!(token.current(), FencingToken(11), "nothing was launched");
    token.record_direct_launch();
    token.record_direct_launch();
    token.raise_for_reap();
    token.raise_for_reap();
    assert_eq!(token.current(), FencingToken(12));
}

#[test]
fn no_direct_launch_is_allowed_under_the_last_token() {
    let mut token = WorkerToken::new(TOKENS);
    for _ in 0..2 {
        assert!(token.allows_direct_launch());
        token.record_direct_launch();
        token.raise_for_reap();
    }
    assert_eq!(token.current(), TOKENS.last);
    assert!(!token.allows_direct_launch());
}

// Guards against a token that falls behind after the machine has left the partition and returned.
#[test]
fn a_higher_token_that_the_worker_has_seen_is_used_and_raised_before_a_reap() {
    let mut token = WorkerToken::new(TOKENS);
    token.observe(FencingToken(9));
    assert_eq!(token.current(), TOKENS.first, "an earlier epoch's");
    token.observe(FencingToken(12));
    assert_eq!(token.current(), FencingToken(12));
    token.raise_for_reap();
    assert_eq!(token.current(), FencingToken(13));
    token.observe(FencingToken(14));
    assert_eq!(token.current(), TOKENS.last, "a later epoch's");
}
