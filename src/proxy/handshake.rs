//! TLS and SCRAM authentication of callers, before a session starts.

use bytes::{BufMut, BytesMut};
use pgwire::messages::Message as _;
use pgwire::messages::response::ErrorResponse;
use smol::io::{AsyncRead, AsyncWriteExt};

use crate::pgsql::{Error, Message, Socket, read_message_limited};
use crate::security::{self, Credentials, Exchange};

/// The codes of the authentication requests of the protocol.
const SASL: u32 = 10;
const SASL_CONTINUE: u32 = 11;
const SASL_FINAL: u32 = 12;

/// The only SASL mechanism that is offered.
const MECHANISM: &[u8] = b"SCRAM-SHA-256";

/// The maximum length of a message from a caller that is not authenticated yet.
const MAX_MESSAGE_BYTES: usize = 4_096;

/// Answers an `SSLRequest`: performs the TLS handshake, or declines if no certificate is configured.
pub(super) async fn negotiate_tls(
    credentials: &Credentials,
    socket: &mut Socket,
) -> Result<(), Error> {
    let plain = match (&credentials.acceptor, &*socket) {
        (Some(_), Socket::Plain(plain)) => plain.clone(),
        (_, Socket::Tls(_)) => return Err(Error::Protocol("TLS was asked for twice")),
        (None, _) => return Ok(socket.write_all(b"N").await?),
    };
    let Some(acceptor) = &credentials.acceptor else {
        return Ok(());
    };
    socket.write_all(b"S").await?;
    *socket = acceptor.accept(plain).await?.into();
    Ok(())
}

/// Authenticates a caller that starts a session: it must use TLS if a certificate is configured, and know the password
/// of its user if users are declared. A denied caller gets an `ErrorResponse`.
pub(super) async fn authenticate(
    credentials: &Credentials,
    socket: &mut Socket,
    parameters: &[(String, String)],
) -> Result<(), Error> {
    let result = check_caller(credentials, socket, parameters).await;
    if let Err(Error::Denied { code, reason }) = &result {
        let fields = [(b'S', "FATAL"), (b'V', "FATAL"), (b'C', code), (b'M', reason)];
        let fields = fields.map(|(field, text)| (field, text.to_owned())).to_vec();
        let mut out = BytesMut::new();
        ErrorResponse::new(fields).encode(&mut out).expect("encoding an ErrorResponse never fails");
        socket.write_all(&out).await?;
        socket.flush().await?;
    }
    result
}

async fn check_caller(
    credentials: &Credentials,
    socket: &mut Socket,
    parameters: &[(String, String)],
) -> Result<(), Error> {
    if credentials.acceptor.is_some() && matches!(socket, Socket::Plain(_)) {
        return Err(Error::Denied { code: "28000", reason: "callers are taken over TLS only" });
    }
    let Some(users) = &credentials.users else {
        return Ok(());
    };
    let user = parameters.iter().find(|(name, _)| name == "user").map(|(_, user)| user.as_str());
    let user = user.ok_or(Error::Protocol("a start-up without a user"))?;
    check_password(users, user, socket).await
}

/// Checks the password of a user by a SCRAM exchange.
async fn check_password(
    users: &security::Users,
    user: &str,
    socket: &mut Socket,
) -> Result<(), Error> {
    let denied = || Error::Denied { code: "28P01", reason: "password authentication failed" };
    let mut mechanisms = MECHANISM.to_vec();
    mechanisms.extend_from_slice(&[0, 0]);
    send_request(socket, SASL, &mechanisms).await?;
    let first = receive_response(socket).await?;
    let first = parse_initial_response(&first).ok_or_else(denied)?;
    let (exchange, answer) = Exchange::start(users.verifier(user), first).ok_or_else(denied)?;
    send_request(socket, SASL_CONTINUE, answer.as_bytes()).await?;
    let last = receive_response(socket).await?;
    let proof = exchange.finish(&last.body).ok_or_else(denied)?;
    send_request(socket, SASL_FINAL, proof.as_bytes()).await
}

/// Parses a `SASLInitialResponse` and returns its data, or `None` if it is malformed or names another mechanism.
fn parse_initial_response(message: &Message) -> Option<&[u8]> {
    let rest = message.body.strip_prefix(MECHANISM)?.strip_prefix(&[0])?;
    let (len, data) = rest.split_at_checked(4)?;
    let len = u32::from_be_bytes(len.try_into().ok()?) as usize;
    (data.len() == len).then_some(data)
}

/// Sends an authentication request.
async fn send_request(socket: &mut Socket, code: u32, data: &[u8]) -> Result<(), Error> {
    let mut out = BytesMut::new();
    out.put_u8(b'R');
    out.put_u32(8 + data.len() as u32);
    out.put_u32(code);
    out.put_slice(data);
    socket.write_all(&out).await?;
    Ok(socket.flush().await?)
}

/// Receives a SASL response.
async fn receive_response(socket: &mut (impl AsyncRead + Unpin)) -> Result<Message, Error> {
    let message = read_message_limited(socket, MAX_MESSAGE_BYTES).await?;
    match message {
        Some(message) if message.tag == b'p' => Ok(message),
        Some(_) => Err(Error::Protocol("a message before authentication")),
        None => Err(std::io::Error::from(std::io::ErrorKind::UnexpectedEof).into()),
    }
}
