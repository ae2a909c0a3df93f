/**
 * Frontend of the platform's line protocol: accepts clients, parses their open command, relays between clients and
 * endpoints, and checks the health of endpoints. Everything but the parsers is confined to the event-loop thread.
 */
package tulipshed.lineprotocol;
