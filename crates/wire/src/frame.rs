//! One message to a stream: the encoded bytes, then the stream's end.

use prost::Message;
use quinn::RecvStream;
use quinn::SendStream;

/// Most bytes of one message.
pub(crate) const MESSAGE_BYTES: usize = 16 << 20;

/// Writes a message and ends the stream.
pub(crate) async fn write(
    stream: &mut SendStream,
    message: &impl Message,
) -> std::result::Result<(), String> {
    let bytes = message.encode_to_vec();
    stream.write_all(&bytes).await.map_err(|error| error.to_string())?;
    stream.finish().map_err(|error| error.to_string())
}

/// Reads a message up to the stream's end.
pub(crate) async fn read<M: Message + Default>(
    stream: &mut RecvStream,
) -> std::result::Result<M, String> {
    let bytes = stream.read_to_end(MESSAGE_BYTES).await.map_err(|error| error.to_string())?;
    M::decode(bytes.as_slice()).map_err(|error| error.to_string())
}
