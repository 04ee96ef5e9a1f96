//! A process's certificate and the fingerprint that stands for it.

use std::fmt;
use std::str::FromStr;

use rustls::pki_types::CertificateDer;
use rustls::pki_types::PrivateKeyDer;
use rustls::pki_types::PrivatePkcs8KeyDer;
use sha2::Digest;
use sha2::Sha256;

use crate::Error;
use crate::Result;

/// Bytes of a SHA-256 digest.
const DIGEST_BYTES: usize = 32;
/// Name in every certificate; nothing is decided by it.
pub(crate) const SERVER_NAME: &str = "corianderyoke.internal";

/// SHA-256 digest of a certificate; its text form is lower-case hexadecimal.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Fingerprint(pub [u8; DIGEST_BYTES]);

impl Fingerprint {
    /// The fingerprint of a certificate in DER form.
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
        let wrong = || Error::Setup(format!("`{text}` is no fingerprint, give 64 hex digits"));
        if text.len() != 2 * DIGEST_BYTES || !text.is_ascii() {
            return Err(wrong());
        }
        let mut digest = [0; DIGEST_BYTES];
        for (index, byte) in digest.iter_mut().enumerate() {
            let digits = &text[2 * index..2 * index + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| wrong())?;
        }
        Ok(Fingerprint(digest))
    }
}

/// A self-signed certificate with its private key, made at process start and never stored.
#[derive(Debug)]
pub struct Identity {
    certificate: CertificateDer<'static>,
    key: PrivatePkcs8KeyDer<'static>,
    fingerprint: Fingerprint,
}

impl Identity {
    /// Makes a new identity.
    pub fn generate() -> Result<Self> {
        let made = rcgen::generate_simple_self_signed([SERVER_NAME.to_owned()])
            .map_err(|error| Error::Setup(error.to_string()))?;
        let certificate = made.cert.der().clone();
        let key = PrivatePkcs8KeyDer::from(made.signing_key.serialize_der());
        let fingerprint = Fingerprint::of(&certificate);
        Ok(Identity { certificate, key, fingerprint })
    }

    /// The fingerprint to publish.
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
