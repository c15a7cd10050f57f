"""Transport of an aiohttp request handler behind an ingress connection."""

import asyncio

__all__ = ["IngressTransport"]


class IngressTransport(asyncio.Transport):
    """Writes to the socket; reading and closing are up to the connection.

    Parameters
    ----------
    connection : IngressConnection
        The connection, which frames what is read.
    transport : asyncio.Transport
        Transport of the socket.
    """

    def __init__(self, connection, transport):
        super().__init__()
        self.connection = connection
        self._transport = transport
        # Bound methods of the socket's transport, called for each answer.
        self.write = transport.write
        self.writelines = transport.writelines
        self.is_closing = transport.is_closing
        self.get_extra_info = transport.get_extra_info

    def pause_reading(self):
        """Stop forwarding what is read."""
        self.connection.set_flow_paused(True)

    def resume_reading(self):
        """Forward again what is read."""
        self.connection.set_flow_paused(False)

    def is_reading(self):
        """Return whether what is read is forwarded."""
        return not self.connection.flow_paused

    def close(self):
        """Close the connection after what was written."""
        # A handler that was released closes its transport once more.
        if self.connection.handler is not None:
            self.connection.close()

    def abort(self):
        """Close the connection at once."""
        self._transport.abort()

    def can_write_eof(self):
        """Return whether the sending direction can be closed alone."""
        return self._transport.can_write_eof()

    def write_eof(self):
        """Close the sending direction."""
        self._transport.write_eof()

    def set_write_buffer_limits(self, high=None, low=None):
        """Set the limits of the write buffer."""
        self._transport.set_write_buffer_limits(high, low)

    def get_write_buffer_size(self):
        """Return the number of bytes that wait to be sent."""
        return self._transport.get_write_buffer_size()

    def get_write_buffer_limits(self):
        """Return the limits of the write buffer."""
        return self._transport.get_write_buffer_limits()

    def set_protocol(self, protocol):
        """Change the protocol that receives the framed input."""
        self.connection.set_handler(protocol)

    def get_protocol(self):
        """Return the protocol that receives the framed input."""
        return self.connection.handler
