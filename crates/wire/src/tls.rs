//! TLS configurations that authenticate both ends by their certificate fingerprints alone.

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

/// ALPN protocol name; its version changes with each incompatible protocol change.
const ALPN: &[u8] = b"corianderyoke-peer/1";

/// Fingerprints that a verifier accepts.
enum Accept {
    /// Every fingerprint in the trust set at the time of the handshake.
    Any(Trust),
    /// Only this fingerprint.
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

    fn verify_fingerprint(
        &self,
        certificate: &CertificateDer<'_>,
    ) -> std::result::Result<(), TlsError> {
        let found = Fingerprint::of(certificate);
        let accepted = match &self.accept {
            Accept::Any(trust) => trust.name(&found).is_some(),
            Accept::Only(expected) => found == *expected,
        };
        if accepted {
            return Ok(());
        }
        Err(TlsError::InvalidCertificate(CertificateError::ApplicationVerificationFailure))
    }

    fn verify_signature(
        &self,
        message: &[u8],
        certificate: &CertificateDer<'_>,
        signed: &DigitallySignedStruct,
    ) -> std::result::Result<HandshakeSignatureValid, TlsError> {
        let algorithms = &self.provider.signature_verification_algorithms;
        verify_tls13_signature(message, certificate, signed, algorithms)
    }

    fn signature_schemes(&self) -> Vec<SignatureScheme> {
        self.provider.signature_verification_algorithms.supported_schemes()
    }
}

/// Rejects TLS 1.2 signatures, since QUIC uses TLS 1.3 only.
fn reject_tls12() -> std::result::Result<HandshakeSignatureValid, TlsError> {
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
        self.verify_fingerprint(certificate)?;
        Ok(ServerCertVerified::assertion())
    }

    fn verify_tls12_signature(
        &self,
        _message: &[u8],
        _certificate: &CertificateDer<'_>,
        _signed: &DigitallySignedStruct,
    ) -> std::result::Result<HandshakeSignatureValid, TlsError> {
        reject_tls12()
    }

    fn verify_tls13_signature(
        &self,
        message: &[u8],
        certificate: &CertificateDer<'_>,
        signed: &DigitallySignedStruct,
    ) -> std::result::Result<HandshakeSignatureValid, TlsError> {
        self.verify_signature(message, certificate, signed)
    }

    fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
        self.signature_schemes()
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
        self.verify_fingerprint(certificate)?;
        Ok(ClientCertVerified::assertion())
    }

    fn verify_tls12_signature(
        &self,
        _message: &[u8],
        _certificate: &CertificateDer<'_>,
        _signed: &DigitallySignedStruct,
    ) -> std::result::Result<HandshakeSignatureValid, TlsError> {
        reject_tls12()
    }

    fn verify_tls13_signature(
        &self,
        message: &[u8],
        certificate: &CertificateDer<'_>,
        signed: &DigitallySignedStruct,
    ) -> std::result::Result<HandshakeSignatureValid, TlsError> {
        self.verify_signature(message, certificate, signed)
    }

    fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
        self.signature_schemes()
    }
}

fn setup_error(error: TlsError) -> Error {
    Error::Setup(error.to_string())
}

/// TLS configuration of the accepting end.
pub(crate) fn server_config(identity: &Identity, trust: Trust) -> Result<ServerConfig> {
    let provider = Arc::new(ring::default_provider());
    let verifier = Verifier::new(Accept::Any(trust), &provider);
    let mut config = ServerConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(setup_error)?
        .with_client_cert_verifier(verifier)
        .with_single_cert(vec![identity.certificate()], identity.key())
        .map_err(setup_error)?;
    config.alpn_protocols = vec![ALPN.to_vec()];
    Ok(config)
}

/// TLS configuration of the connecting end, which accepts only the fingerprint of `peer`.
pub(crate) fn client_config(identity: &Identity, peer: Fingerprint) -> Result<ClientConfig> {
    let provider = Arc::new(ring::default_provider());
    let verifier = Verifier::new(Accept::Only(peer), &provider);
    let mut config = ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(setup_error)?
        .dangerous()
        .with_custom_certificate_verifier(verifier)
        .with_client_auth_cert(vec![identity.certificate()], identity.key())
        .map_err(setup_error)?;
    config.alpn_protocols = vec![ALPN.to_vec()];
    Ok(config)
}
