//! Tests of handlers that answer with an informational status.

use rstest::rstest;

use super::common::Client;
use super::common::get;
use super::common::limits;
use super::common::start;

/// A response of 101 took the connection away from HTTP, and the caller's next request was cut.
#[rstest]
#[case::switching_protocols("/switch")]
#[case::continue_without_an_end("/continue")]
#[tokio::test]
async fn an_informational_response_of_a_handler_is_not_sent(#[case] path: &str) {
    let s = start(limits()).await;
    let mut client = Client::connect(s.addr);
    client.write(&format!("{}{}", get(path), get("/")));
    let (_, res) = client.read_response().await;
    assert!(res.starts_with("HTTP/1.1 502 Bad Gateway\r\n"), "`{res}`");
    assert!(res.contains("HTTP/1.1 200 OK\r\n"), "`{res}`");
}
