/** The frontend for QUIC: routes datagrams by connection ID (RFC 9000, RFC 9369) without decrypting them. */
package tulipshed.quic;
