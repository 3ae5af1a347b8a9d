//! Tests that a request which the server has read gets an answer, however its connection ends.

mod common;
mod informational;
mod panic;
mod slow_reader;
mod stop;
mod unanswered;
mod unread_body;
