//! TLS towards callers, with the proxy's certificate, and towards upstreams, with the roots that verify theirs.

use std::path::Path;
use std::sync::Arc;

use futures_rustls::rustls::crypto::ring::default_provider;
use futures_rustls::rustls::{ClientConfig, RootCertStore, ServerConfig};
use futures_rustls::{TlsAcceptor, TlsConnector, TlsStream};
use rustls_pki_types::pem::PemObject;
use rustls_pki_types::{CertificateDer, PrivateKeyDer, ServerName};
use smol::net::TcpStream;

use super::Error;
use super::file::File;
use crate::config;

/// TLS towards callers. Clones share the certificate.
#[derive(Debug, Clone)]
pub struct Acceptor {
    config: File<ServerConfig>,
}

impl Acceptor {
    /// Loads a certificate chain and its key.
    ///
    /// # Errors
    ///
    /// Fails if the files can't be read, or the key doesn't match the certificate.
    pub fn open(tls: &config::Tls) -> Result<Self, Error> {
        let paths = [tls.certificate.as_path(), tls.key.path()];
        let tls = tls.clone();
        let config = File::open(&paths, move || server_config(&tls))?;
        Ok(Self { config })
    }

    /// Reloads the files if they have changed.
    pub fn refresh(&self) {
        self.config.refresh();
    }

    /// Performs the TLS handshake with a caller.
    ///
    /// # Errors
    ///
    /// Fails if the connection is lost or the handshake fails.
    pub async fn accept(&self, socket: TcpStream) -> std::io::Result<TlsStream<TcpStream>> {
        Ok(TlsAcceptor::from(self.config.get()).accept(socket).await?.into())
    }
}

/// TLS towards upstreams. Clones share the root certificates.
#[derive(Debug, Clone)]
pub struct Connector {
    config: File<ClientConfig>,
}

impl Connector {
    /// Loads the root certificates that verify upstreams.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read or has no certificate.
    pub fn open(roots: &Path) -> Result<Self, Error> {
        let path = roots.to_path_buf();
        let config = File::open(&[roots], move || client_config(&path))?;
        Ok(Self { config })
    }

    /// Reloads the file if it has changed.
    pub fn refresh(&self) {
        self.config.refresh();
    }

    /// Performs the TLS handshake with an upstream, whose certificate must name its IP address.
    ///
    /// # Errors
    ///
    /// Fails if the connection is lost, the handshake fails or the certificate is not valid for the address.
    pub async fn connect(&self, socket: TcpStream) -> std::io::Result<TlsStream<TcpStream>> {
        let name = ServerName::IpAddress(socket.peer_addr()?.ip().into());
        Ok(TlsConnector::from(self.config.get()).connect(name, socket).await?.into())
    }
}

fn server_config(tls: &config::Tls) -> Result<ServerConfig, Error> {
    let path = tls.key.path().display().to_string();
    let chain = read_certificates(&tls.certificate)?;
    let pem = tls.key.read().map_err(|source| Error::Secret { path: path.clone(), source })?;
    let key = PrivateKeyDer::from_pem_slice(pem.as_bytes());
    let key = key.map_err(|error| certificate_error(&path, &error))?;
    let builder = ServerConfig::builder_with_provider(Arc::new(default_provider()))
        .with_safe_default_protocol_versions();
    let builder = builder.map_err(|error| certificate_error(&path, &error))?.with_no_client_auth();
    let config = builder.with_single_cert(chain, key);
    config.map_err(|error| certificate_error(&path, &error))
}

fn client_config(roots: &Path) -> Result<ClientConfig, Error> {
    let path = roots.display().to_string();
    let mut store = RootCertStore::empty();
    for certificate in read_certificates(roots)? {
        store.add(certificate).map_err(|error| certificate_error(&path, &error))?;
    }
    let builder = ClientConfig::builder_with_provider(Arc::new(default_provider()))
        .with_safe_default_protocol_versions();
    let builder = builder.map_err(|error| certificate_error(&path, &error))?;
    Ok(builder.with_root_certificates(store).with_no_client_auth())
}

fn read_certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, Error> {
    let name = path.display().to_string();
    let pem = std::fs::read(path).map_err(|source| Error::Read { path: name.clone(), source })?;
    let chain: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(&pem).collect();
    let chain = chain.map_err(|error| certificate_error(&name, &error))?;
    if chain.is_empty() {
        return Err(certificate_error(&name, &"the file has no certificate"));
    }
    Ok(chain)
}

fn certificate_error(path: &str, problem: &impl ToString) -> Error {
    Error::Certificate { path: path.to_owned(), problem: problem.to_string() }
}
