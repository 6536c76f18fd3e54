//! Lets callers in: TLS and SCRAM before a session begins.

use bytes::{BufMut, BytesMut};
use pgwire::messages::Message as _;
use pgwire::messages::response::ErrorResponse;
use smol::io::{AsyncRead, AsyncWriteExt};

use crate::pgsql::{Error, Message, Socket, read_message_limited};
use crate::security::{self, Credentials, Exchange};

/// The authentication requests of the protocol, by their codes.
const SASL: u32 = 10;
const SASL_CONTINUE: u32 = 11;
const SASL_FINAL: u32 = 12;

/// The one mechanism that is offered.
const MECHANISM: &[u8] = b"SCRAM-SHA-256";

/// The longest message of a caller that is not let in yet, in bytes.
const MAX_BYTES: usize = 4_096;

/// Answers a caller that asks for TLS: shakes hands, or tells it that there is none.
pub(super) async fn secure(credentials: &Credentials, socket: &mut Socket) -> Result<(), Error> {
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

/// Makes sure that a caller which starts a session may: it came by TLS where there is TLS, and it knows its
/// user's password where users are declared.
pub(super) async fn admit(
    credentials: &Credentials,
    socket: &mut Socket,
    parameters: &[(String, String)],
) -> Result<(), Error> {
    let admitted = check(credentials, socket, parameters).await;
    if let Err(Error::Denied { code, reason }) = &admitted {
        let fields = [(b'S', "FATAL"), (b'V', "FATAL"), (b'C', code), (b'M', reason)];
        let fields = fields.map(|(field, text)| (field, text.to_owned())).to_vec();
        let mut out = BytesMut::new();
        ErrorResponse::new(fields).encode(&mut out).expect("an error of ours can be encoded");
        socket.write_all(&out).await?;
        socket.flush().await?;
    }
    admitted
}

async fn check(
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
    authenticate(users, user, socket).await
}

async fn authenticate(
    users: &security::Users,
    user: &str,
    socket: &mut Socket,
) -> Result<(), Error> {
    let denied = || Error::Denied { code: "28P01", reason: "password authentication failed" };
    let mut mechanisms = MECHANISM.to_vec();
    mechanisms.extend_from_slice(&[0, 0]);
    ask(socket, SASL, &mechanisms).await?;
    let first = password(socket).await?;
    let first = initial(&first).ok_or_else(denied)?;
    let (exchange, answer) = Exchange::start(users.verifier(user), first).ok_or_else(denied)?;
    ask(socket, SASL_CONTINUE, answer.as_bytes()).await?;
    let last = password(socket).await?;
    let proof = exchange.finish(&last.body).ok_or_else(denied)?;
    ask(socket, SASL_FINAL, proof.as_bytes()).await
}

/// Takes the mechanism and the length from the first message and returns the rest.
fn initial(message: &Message) -> Option<&[u8]> {
    let rest = message.body.strip_prefix(MECHANISM)?.strip_prefix(&[0])?;
    let (len, data) = rest.split_at_checked(4)?;
    let len = u32::from_be_bytes(len.try_into().ok()?) as usize;
    (data.len() == len).then_some(data)
}

async fn ask(socket: &mut Socket, code: u32, data: &[u8]) -> Result<(), Error> {
    let mut out = BytesMut::new();
    out.put_u8(b'R');
    out.put_u32(8 + data.len() as u32);
    out.put_u32(code);
    out.put_slice(data);
    socket.write_all(&out).await?;
    Ok(socket.flush().await?)
}

async fn password(socket: &mut (impl AsyncRead + Unpin)) -> Result<Message, Error> {
    let message = read_message_limited(socket, MAX_BYTES).await?;
    match message {
        Some(message) if message.tag == b'p' => Ok(message),
        Some(_) => Err(Error::Protocol("a message before authentication")),
        None => Err(std::io::Error::from(std::io::ErrorKind::UnexpectedEof).into()),
    }
}
