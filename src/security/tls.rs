//! TLS: towards callers with our certificate, towards upstreams with the roots that they are checked by.

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
    /// Reads a certificate chain and its key.
    ///
    /// # Errors
    ///
    /// Fails when the files can't be read or don't belong together.
    pub fn open(tls: &config::Tls) -> Result<Self, Error> {
        let paths = [tls.certificate.as_path(), tls.key.path()];
        let tls = tls.clone();
        let config = File::open(&paths, move || server(&tls))?;
        Ok(Self { config })
    }

    /// Reads the files again when they changed.
    pub fn refresh(&self) {
        self.config.refresh();
    }

    /// Shakes hands with a caller.
    ///
    /// # Errors
    ///
    /// Fails when the caller breaks off or can't agree.
    pub async fn accept(&self, socket: TcpStream) -> std::io::Result<TlsStream<TcpStream>> {
        Ok(TlsAcceptor::from(self.config.get()).accept(socket).await?.into())
    }
}

/// TLS towards upstreams. Clones share the roots.
#[derive(Debug, Clone)]
pub struct Connector {
    config: File<ClientConfig>,
}

impl Connector {
    /// Reads the certificates that upstreams are checked by.
    ///
    /// # Errors
    ///
    /// Fails when the file can't be read or holds no certificate.
    pub fn open(roots: &Path) -> Result<Self, Error> {
        let path = roots.to_path_buf();
        let config = File::open(&[roots], move || client(&path))?;
        Ok(Self { config })
    }

    /// Reads the file again when it changed.
    pub fn refresh(&self) {
        self.config.refresh();
    }

    /// Shakes hands with an upstream, whose certificate must name its IP number.
    ///
    /// # Errors
    ///
    /// Fails when the upstream can't prove that it is the one at this address.
    pub async fn connect(&self, socket: TcpStream) -> std::io::Result<TlsStream<TcpStream>> {
        let name = ServerName::IpAddress(socket.peer_addr()?.ip().into());
        Ok(TlsConnector::from(self.config.get()).connect(name, socket).await?.into())
    }
}

fn server(tls: &config::Tls) -> Result<ServerConfig, Error> {
    let path = tls.key.path().display().to_string();
    let chain = certificates(&tls.certificate)?;
    let pem = tls.key.read().map_err(|source| Error::Secret { path: path.clone(), source })?;
    let key = PrivateKeyDer::from_pem_slice(pem.as_bytes());
    let key = key.map_err(|error| unusable(&path, &error))?;
    let versions = ServerConfig::builder_with_provider(Arc::new(default_provider()))
        .with_safe_default_protocol_versions();
    let builder = versions.map_err(|error| unusable(&path, &error))?.with_no_client_auth();
    let config = builder.with_single_cert(chain, key);
    config.map_err(|error| unusable(&path, &error))
}

fn client(roots: &Path) -> Result<ClientConfig, Error> {
    let path = roots.display().to_string();
    let mut store = RootCertStore::empty();
    for certificate in certificates(roots)? {
        store.add(certificate).map_err(|error| unusable(&path, &error))?;
    }
    let versions = ClientConfig::builder_with_provider(Arc::new(default_provider()))
        .with_safe_default_protocol_versions();
    let builder = versions.map_err(|error| unusable(&path, &error))?;
    Ok(builder.with_root_certificates(store).with_no_client_auth())
}

fn certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, Error> {
    let name = path.display().to_string();
    let pem = std::fs::read(path).map_err(|source| Error::Read { path: name.clone(), source })?;
    let chain: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(&pem).collect();
    let chain = chain.map_err(|error| unusable(&name, &error))?;
    if chain.is_empty() {
        return Err(unusable(&name, &"there is no certificate in it"));
    }
    Ok(chain)
}

fn unusable(path: &str, problem: &impl ToString) -> Error {
    Error::Certificate { path: path.to_owned(), problem: problem.to_string() }
}
