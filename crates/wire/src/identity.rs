//! A process's self-signed certificate and the fingerprint that identifies it.

use std::fmt;
use std::str::FromStr;

use rustls::pki_types::CertificateDer;
use rustls::pki_types::PrivateKeyDer;
use rustls::pki_types::PrivatePkcs8KeyDer;
use sha2::Digest;
use sha2::Sha256;

use crate::Error;
use crate::Result;

/// Length of a SHA-256 digest, in bytes.
const DIGEST_BYTES: usize = 32;
/// Subject name of every certificate. Verifiers ignore it and compare fingerprints.
pub(crate) const SERVER_NAME: &str = "corianderyoke.internal";

/// SHA-256 digest of a certificate, displayed as lower-case hexadecimal.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Fingerprint(pub [u8; DIGEST_BYTES]);

impl Fingerprint {
    /// Computes the fingerprint of a DER-encoded certificate.
    pub fn of(certificate: &[u8]) -> Self {
        Fingerprint(Sha256::digest(certificate).into())
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl FromStr for Fingerprint {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let malformed =
            || Error::Setup(format!("invalid fingerprint `{text}`, expected 64 hex digits"));
        if text.len() != 2 * DIGEST_BYTES || !text.is_ascii() {
            return Err(malformed());
        }
        let mut digest = [0; DIGEST_BYTES];
        for (index, byte) in digest.iter_mut().enumerate() {
            let digits = &text[2 * index..2 * index + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| malformed())?;
        }
        Ok(Fingerprint(digest))
    }
}

/// A self-signed certificate and its private key, generated at process start and never stored.
#[derive(Debug)]
pub struct Identity {
    certificate: CertificateDer<'static>,
    key: PrivatePkcs8KeyDer<'static>,
    fingerprint: Fingerprint,
}

impl Identity {
    /// Generates a key pair and its certificate.
    pub fn generate() -> Result<Self> {
        let generated = rcgen::generate_simple_self_signed([SERVER_NAME.to_owned()])
            .map_err(|error| Error::Setup(error.to_string()))?;
        let certificate = generated.cert.der().clone();
        let key = PrivatePkcs8KeyDer::from(generated.signing_key.serialize_der());
        let fingerprint = Fingerprint::of(&certificate);
        Ok(Identity { certificate, key, fingerprint })
    }

    /// Fingerprint of the certificate, which the process publishes to its peers.
    pub fn fingerprint(&self) -> Fingerprint {
        self.fingerprint
    }

    pub(crate) fn certificate(&self) -> CertificateDer<'static> {
        self.certificate.clone()
    }

    pub(crate) fn key(&self) -> PrivateKeyDer<'static> {
        PrivateKeyDer::Pkcs8(self.key.clone_key())
    }
}
