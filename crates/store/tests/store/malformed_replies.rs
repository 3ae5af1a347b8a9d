//! Malformed replies and error statuses, and which error kind they give.

use bytes::Bytes;
use gs_store::HttpPlatform;
use gs_store::HttpPlatformOptions;
use gs_store::Platform;
use gs_store::Version;
use gs_types::prelude::*;
use rstest::rstest;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

/// Returns a client of a server that answers every connection with the given bytes and closes it.
async fn client_of_server_answering(bytes: &'static [u8]) -> HttpPlatform {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut buf = [0; 1_024];
            let _ = stream.read(&mut buf).await;
            let _ = stream.write_all(bytes).await;
        }
    });
    let options = HttpPlatformOptions::builder()
        .addr(addr)
        .seed(1)
        .clock(crate::common::clock())
        .tries_max(1)
        .build();
    HttpPlatform::new(options)
}

#[rstest]
#[case::empty(b"", ErrorKind::Unavailable)]
#[case::not_http(b"\x00\xff\x13 garbage\r\n\r\n", ErrorKind::Unavailable)]
#[case::truncated(
    b"HTTP/1.1 200 OK\r\nx-version: 3\r\ncontent-length: 9\r\n\r\nab",
    ErrorKind::Unavailable
)]
#[case::no_version(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n", ErrorKind::BadInput)]
#[case::bad_version(
    b"HTTP/1.1 200 OK\r\nx-version: -1\r\ncontent-length: 0\r\n\r\n",
    ErrorKind::BadInput
)]
#[case::unexpected_status(
    b"HTTP/1.1 302 Found\r\ncontent-length: 0\r\n\r\n",
    ErrorKind::BadInput
)]
#[case::server_error(
    b"HTTP/1.1 500 No\r\ncontent-length: 0\r\n\r\n",
    ErrorKind::Unavailable
)]
#[tokio::test]
async fn a_malformed_reply_to_a_read_gives_its_error_kind(
    #[case] answer: &'static [u8],
    #[case] kind: ErrorKind,
) {
    let p = client_of_server_answering(answer).await;
    let e = p
        .read("config/current")
        .await
        .expect_err("a malformed reply");
    assert_eq!((e.kind(), e.step()), (kind, Some("read object")), "{e}");
}

/// A write that was sent may have taken effect, whatever malformed reply comes back.
#[rstest]
#[case::empty(b"")]
#[case::not_http(b"\x00\xff\x13 garbage\r\n\r\n")]
#[case::truncated(b"HTTP/1.1 200 OK\r\nx-version: 3\r\ncontent-length: 9\r\n\r\nab")]
#[case::no_version(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")]
#[case::server_error(b"HTTP/1.1 500 No\r\ncontent-length: 0\r\n\r\n")]
#[tokio::test]
async fn a_write_without_a_clear_answer_is_unknown(#[case] answer: &'static [u8]) {
    let p = client_of_server_answering(answer).await;
    let write = p.write("claims/a", Version::ABSENT, Bytes::from("x"));
    let e = write.await.expect_err("a malformed reply");
    assert_eq!(e.kind(), ErrorKind::Unknown, "{e}");
}

#[rstest]
#[case::truncated_json(b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n{\"rev")]
#[case::array_instead_of_object(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n[]")]
#[tokio::test]
async fn a_malformed_list_is_refused(#[case] answer: &'static [u8]) {
    let p = client_of_server_answering(answer).await;
    let e = p.list("groups/").await.expect_err("a malformed reply");
    assert_eq!(e.kind(), ErrorKind::BadInput, "{e}");
}

/// Nothing listens at the address, so that the write cannot have taken effect and its result is not unknown.
#[tokio::test]
async fn a_write_without_a_connection_was_not_made() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("an address");
    drop(listener);
    let options = HttpPlatformOptions::builder()
        .addr(addr)
        .seed(1)
        .clock(crate::common::clock())
        .build();
    let p = HttpPlatform::new(options);
    let write = p.write("claims/a", Version::ABSENT, Bytes::from("x"));
    assert_eq!(
        write.await.map_err(|e| e.kind()),
        Err(ErrorKind::Unavailable)
    );
}
