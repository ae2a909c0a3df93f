package tulipshed.emulator.engine;

/**
 * A payload on its way to an actor. Messages are ordered by delivery time, then receiver, sender and the sender's sequence
 * number, so that their order does not depend on threads.
 */
final class Message<P extends Payload> implements Comparable<Message<?>> {
    final double deliveryMs;
    final Actor<P> receiver;
    final int senderId;
    final long sequenceNumber;
    final P payload;

    Message(double deliveryMs, Actor<P> receiver, int senderId, long sequenceNumber, P payload) {
        this.deliveryMs = deliveryMs;
        this.receiver = receiver;
        this.senderId = senderId;
        this.sequenceNumber = sequenceNumber;
        this.payload = payload;
    }

    void deliver() {
        receiver.handle(this);
    }

    @Override
    public int compareTo(Message<?> other) {
        int order = Double.compare(deliveryMs, other.deliveryMs);
        if (order == 0) {
            order = Integer.compare(receiver.id(), other.receiver.id());
        }
        if (order == 0) {
            order = Integer.compare(senderId, other.senderId);
        }
        return order != 0 ? order : Long.compare(sequenceNumber, other.sequenceNumber);
    }
}
