//! TLS settings in which both ends are known by their certificate's fingerprint alone.

use std::fmt;
use std::sync::Arc;

use rustls::client::danger::HandshakeSignatureValid;
use rustls::client::danger::ServerCertVerified;
use rustls::client::danger::ServerCertVerifier;
use rustls::crypto::ring;
use rustls::crypto::verify_tls13_signature;
use rustls::crypto::CryptoProvider;
use rustls::pki_types::CertificateDer;
use rustls::pki_types::ServerName;
use rustls::pki_types::UnixTime;
use rustls::server::danger::ClientCertVerified;
use rustls::server::danger::ClientCertVerifier;
use rustls::CertificateError;
use rustls::ClientConfig;
use rustls::DigitallySignedStruct;
use rustls::DistinguishedName;
use rustls::Error as TlsError;
use rustls::PeerIncompatible;
use rustls::ServerConfig;
use rustls::SignatureScheme;

use crate::Error;
use crate::Fingerprint;
use crate::Identity;
use crate::Result;
use crate::Trust;

/// Protocol name in the handshake; it changes when old and new can't talk.
const ALPN: &[u8] = b"corianderyoke-peer/1";

/// Whom a verifier accepts.
enum Accept {
    /// Any member of the set, looked up at each handshake.
    Any(Trust),
    /// One fingerprint.
    Only(Fingerprint),
}

struct Verifier {
    accept: Accept,
    provider: Arc<CryptoProvider>,
}

impl fmt::Debug for Verifier {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Verifier")
    }
}

impl Verifier {
    fn new(accept: Accept, provider: &Arc<CryptoProvider>) -> Arc<Self> {
        Arc::new(Verifier { accept, provider: provider.clone() })
    }

    fn check(&self, certificate: &CertificateDer<'_>) -> std::result::Result<(), TlsError> {
        let found = Fingerprint::of(certificate);
        let known = match &self.accept {
            Accept::Any(trust) => trust.name(&found).is_some(),
            Accept::Only(wanted) => found == *wanted,
        };
        if known {
            return Ok(());
        }
        Err(TlsError::InvalidCertificate(CertificateError::ApplicationVerificationFailure))
    }

    fn signature(
        &self,
        message: &[u8],
        certificate: &CertificateDer<'_>,
        signed: &DigitallySignedStruct,
    ) -> std::result::Result<HandshakeSignatureValid, TlsError> {
        let algorithms = &self.provider.signature_verification_algorithms;
        verify_tls13_signature(message, certificate, signed, algorithms)
    }

    fn schemes(&self) -> Vec<SignatureScheme> {
        self.provider.signature_verification_algorithms.supported_schemes()
    }
}

/// QUIC speaks TLS 1.3 only.
fn no_tls12() -> std::result::Result<HandshakeSignatureValid, TlsError> {
    Err(TlsError::PeerIncompatible(PeerIncompatible::Tls12NotOffered))
}

impl ServerCertVerifier for Verifier {
    fn verify_server_cert(
        &self,
        certificate: &CertificateDer<'_>,
        _intermediates: &[CertificateDer<'_>],
        _name: &ServerName<'_>,
        _ocsp: &[u8],
        _now: UnixTime,
    ) -> std::result::Result<ServerCertVerified, TlsError> {
        self.check(certificate)?;
        Ok(ServerCertVerified::assertion())
    }

    fn verify_tls12_signature(
        &self,
        _message: &[u8],
        _certificate: &CertificateDer<'_>,
        _signed: &DigitallySignedStruct,
    ) -> std::result::Result<HandshakeSignatureValid, TlsError> {
        no_tls12()
    }

    fn verify_tls13_signature(
        &self,
        message: &[u8],
        certificate: &CertificateDer<'_>,
        signed: &DigitallySignedStruct,
    ) -> std::result::Result<HandshakeSignatureValid, TlsError> {
        self.signature(message, certificate, signed)
    }

    fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
        self.schemes()
    }
}

impl ClientCertVerifier for Verifier {
    fn root_hint_subjects(&self) -> &[DistinguishedName] {
        &[]
    }

    fn verify_client_cert(
        &self,
        certificate: &CertificateDer<'_>,
        _intermediates: &[CertificateDer<'_>],
        _now: UnixTime,
    ) -> std::result::Result<ClientCertVerified, TlsError> {
        self.check(certificate)?;
        Ok(ClientCertVerified::assertion())
    }

    fn verify_tls12_signature(
        &self,
        _message: &[u8],
        _certificate: &CertificateDer<'_>,
        _signed: &DigitallySignedStruct,
    ) -> std::result::Result<HandshakeSignatureValid, TlsError> {
        no_tls12()
    }

    fn verify_tls13_signature(
        &self,
        message: &[u8],
        certificate: &CertificateDer<'_>,
        signed: &DigitallySignedStruct,
    ) -> std::result::Result<HandshakeSignatureValid, TlsError> {
        self.signature(message, certificate, signed)
    }

    fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
        self.schemes()
    }
}

fn setup(error: TlsError) -> Error {
    Error::Setup(error.to_string())
}

/// Settings of the accepting end.
pub(crate) fn server(identity: &Identity, trust: Trust) -> Result<ServerConfig> {
    let provider = Arc::new(ring::default_provider());
    let verifier = Verifier::new(Accept::Any(trust), &provider);
    let mut config = ServerConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(setup)?
        .with_client_cert_verifier(verifier)
        .with_single_cert(vec![identity.certificate()], identity.key())
        .map_err(setup)?;
    config.alpn_protocols = vec![ALPN.to_vec()];
    Ok(config)
}

/// Settings of the connecting end towards one peer.
pub(crate) fn client(identity: &Identity, peer: Fingerprint) -> Result<ClientConfig> {
    let provider = Arc::new(ring::default_provider());
    let verifier = Verifier::new(Accept::Only(peer), &provider);
    let mut config = ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(setup)?
        .dangerous()
        .with_custom_certificate_verifier(verifier)
        .with_client_auth_cert(vec![identity.certificate()], identity.key())
        .map_err(setup)?;
    config.alpn_protocols = vec![ALPN.to_vec()];
    Ok(config)
}
