/**
 * The frontend for QUIC: forwards datagrams by connection ID between clients and endpoints (RFC 9000, RFC 9369), and decrypts
 * Initial packets alone, whose keys follow from their headers.
 *
 * <ul>
 *   <li>{@code QuicFrontend} has the listeners and the settings; {@code DatagramDemultiplexer} assigns datagrams to the
 *       connections of {@code ConnectionTable}.
 *   <li>{@code ConnectionOpener} opens and resumes connections within the bounds of {@code ConnectionAdmission}; {@code
 *       AddressValidation} sends Retry packets.
 *   <li>{@code QuicSession} is one connection: {@code ConnectionStateMachine} decides on each datagram, {@code ClientPaths} has
 *       its network paths, and {@code UpstreamFlow} one path's flow to the endpoint.
 *   <li>{@code Packet}, {@code InitialKeys}, {@code InitialFrames} and {@code ClientHello} read what clients and servers send.
 * </ul>
 */
package tulipshed.quic;
