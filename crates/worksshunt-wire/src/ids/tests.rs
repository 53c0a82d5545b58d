//! Tests of the text form of ids.

use super::*;

#[test]
fn job_ids_parse_only_in_canonical_form() {
    assert_eq!("j-000412".parse(), Ok(JobId(412)));
    assert_eq!("j-1234567".parse(), Ok(JobId(1_234_567)));
    for bad in ["j-412", "j-0000412", "x-000412", "j-00041a", "j-", ""] {
        assert!(bad.parse::<JobId>().is_err(), "{bad}");
    }
}
