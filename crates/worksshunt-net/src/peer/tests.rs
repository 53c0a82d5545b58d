//! Tests of `peer`: frames in memory.

use async_io::block_on;
use futures_lite::io::Cursor;
use worksshunt_wire::peer::EpochPollResponse;
use worksshunt_wire::Epoch;

use super::*;

fn framed(message: &impl BorshSerialize) -> Vec<u8> {
    let mut bytes = Cursor::new(Vec::new());
    block_on(write_frame(&mut bytes, message)).expect("written");
    bytes.into_inner()
}

fn read<T: BorshDeserialize>(bytes: Vec<u8>) -> Result<T, FrameError> {
    block_on(read_frame(&mut Cursor::new(bytes)))
}

#[test]
fn what_is_framed_is_read_again() {
    let known = EpochPollResponse {
        poll_number: 3,
        epoch: Epoch(7),
        is_key_value_store_reachable: true,
    };
    let answer = PeerResponse::EpochPoll(known);
    assert_eq!(read::<PeerResponse>(framed(&answer)).expect("read"), answer);
    let request = PeerRequest::EpochPoll { poll_number: 3 };
    assert_eq!(
        read::<PeerRequest>(framed(&request)).expect("read"),
        request
    );
}

// A version in production that does not know the poll of epochs receives it like this, and drops the connection.
#[test]
fn a_message_of_a_later_version_is_an_error() {
    let unknown_variant: u8 = 200;
    assert!(read::<PeerRequest>(framed(&unknown_variant)).is_err());
    let longer = (PeerRequest::KeyValueHealth, 9_u64);
    assert!(read::<PeerRequest>(framed(&longer)).is_err());
}

#[test]
fn a_frame_over_the_limit_or_cut_short_is_an_error() {
    let length = u32::try_from(MAX_FRAME_BYTES + 1)
        .expect("fits")
        .to_le_bytes();
    let refused = read::<PeerRequest>(length.to_vec());
    assert!(matches!(refused, Err(FrameError::TooLong(bytes)) if bytes == MAX_FRAME_BYTES + 1));
    let mut short = framed(&PeerRequest::EpochPoll { poll_number: 3 });
    short.pop();
    assert!(read::<PeerRequest>(short).is_err());
}

#[test]
fn a_message_is_sent_up_to_the_limit_and_refused_beyond_it() {
    let overhead = borsh::to_vec(&Vec::<u8>::new()).expect("bytes").len();
    let longest = vec![7_u8; MAX_FRAME_BYTES - overhead];
    assert_eq!(read::<Vec<u8>>(framed(&longest)).expect("read"), longest);
    let longer = vec![7_u8; MAX_FRAME_BYTES - overhead + 1];
    let mut bytes = Cursor::new(Vec::new());
    let refused = block_on(write_frame(&mut bytes, &longer));
    assert!(matches!(refused, Err(FrameError::TooLong(size)) if size == MAX_FRAME_BYTES + 1));
    assert!(bytes.into_inner().is_empty(), "nothing of it was sent");
}
