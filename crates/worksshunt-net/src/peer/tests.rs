//! Tests of `peer`: encoding and decoding of frames in memory.

use async_io::block_on;
use futures_lite::io::Cursor;
use worksshunt_wire::peer::EpochPollResponse;
use worksshunt_wire::Epoch;

use super::*;

fn encode_frame(message: &impl BorshSerialize) -> Vec<u8> {
    let mut bytes = Cursor::new(Vec::new());
    block_on(write_frame(&mut bytes, message)).expect("written");
    bytes.into_inner()
}

fn decode_frame<T: BorshDeserialize>(bytes: Vec<u8>) -> Result<T, FrameError> {
    block_on(read_frame(&mut Cursor::new(bytes)))
}

#[test]
fn frames_round_trip() {
    let epoch_poll_response = EpochPollResponse {
        poll_number: 3,
        epoch: Epoch(7),
        is_key_value_store_reachable: true,
    };
    let response = PeerResponse::EpochPoll(epoch_poll_response);
    assert_eq!(
        decode_frame::<PeerResponse>(encode_frame(&response)).expect("read"),
        response
    );
    let request = PeerRequest::EpochPoll { poll_number: 3 };
    assert_eq!(
        decode_frame::<PeerRequest>(encode_frame(&request)).expect("read"),
        request
    );
}

// Guards against decoding a message of a newer version as another message.
#[test]
fn message_of_a_newer_version_is_rejected() {
    let unknown_variant: u8 = 200;
    assert!(decode_frame::<PeerRequest>(encode_frame(&unknown_variant)).is_err());
    let with_additional_field = (PeerRequest::KeyValueHealth, 9_u64);
    assert!(decode_frame::<PeerRequest>(encode_frame(&with_additional_field)).is_err());
}

#[test]
fn oversized_or_truncated_frame_is_rejected() {
    let length = u32::try_from(MAX_FRAME_BYTES + 1)
        .expect("fits")
        .to_le_bytes();
    let oversized = decode_frame::<PeerRequest>(length.to_vec());
    assert!(matches!(oversized, Err(FrameError::TooLong(bytes)) if bytes == MAX_FRAME_BYTES + 1));
    let mut truncated = encode_frame(&PeerRequest::EpochPoll { poll_number: 3 });
    truncated.pop();
    assert!(decode_frame::<PeerRequest>(truncated).is_err());
}

#[test]
fn message_beyond_the_frame_limit_is_not_sent() {
    let overhead = borsh::to_vec(&Vec::<u8>::new()).expect("bytes").len();
    let longest = vec![7_u8; MAX_FRAME_BYTES - overhead];
    assert_eq!(
        decode_frame::<Vec<u8>>(encode_frame(&longest)).expect("read"),
        longest
    );
    let too_long = vec![7_u8; MAX_FRAME_BYTES - overhead + 1];
    let mut bytes = Cursor::new(Vec::new());
    let result = block_on(write_frame(&mut bytes, &too_long));
    assert!(matches!(result, Err(FrameError::TooLong(size)) if size == MAX_FRAME_BYTES + 1));
    assert!(bytes.into_inner().is_empty(), "nothing was sent");
}
