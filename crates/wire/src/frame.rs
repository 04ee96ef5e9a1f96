//! Framing of messages: each stream carries the encoded bytes of one message.

use prost::Message;
use quinn::RecvStream;
use quinn::SendStream;

/// Maximum size of an encoded message, in bytes.
pub(crate) const MAX_MESSAGE_BYTES: usize = 16 << 20;

/// Writes a message and finishes the stream.
pub(crate) async fn write(
    stream: &mut SendStream,
    message: &impl Message,
) -> std::result::Result<(), String> {
    let bytes = message.encode_to_vec();
    stream.write_all(&bytes).await.map_err(|error| error.to_string())?;
    stream.finish().map_err(|error| error.to_string())
}

/// Reads the stream to its end and decodes the message.
pub(crate) async fn read<M: Message + Default>(
    stream: &mut RecvStream,
) -> std::result::Result<M, String> {
    let bytes = stream.read_to_end(MAX_MESSAGE_BYTES).await.map_err(|error| error.to_string())?;
    M::decode(bytes.as_slice()).map_err(|error| error.to_string())
}
