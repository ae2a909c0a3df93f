package tulipshed.warmup;

import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.util.concurrent.TimeUnit;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.conduits.ReadReadyHandler;
import org.xnio.conduits.StreamSourceConduit;

/** The input of the node on an in-memory connection. Operations that the node does not use are unsupported. */
final class InMemorySource implements StreamSourceConduit {
    private final InMemoryConnection connection;
    private boolean isShutDown;

    InMemorySource(InMemoryConnection connection) {
        this.connection = connection;
    }

    @Override
    public int read(ByteBuffer into) {
        return connection.read(into);
    }

    @Override
    public void resumeReads() {
        connection.setReading(true);
    }

    @Override
    public void suspendReads() {
        connection.setReading(false);
    }

    @Override
    public boolean isReadResumed() {
        return connection.isReading();
    }

    @Override
    public void terminateReads() {
        isShutDown = true;
    }

    @Override
    public boolean isReadShutdown() {
        return isShutDown;
    }

    @Override
    public void setReadReadyHandler(ReadReadyHandler handler) {
        // The connection calls the read listener of its source channel directly.
    }

    @Override
    public XnioIoThread getReadThread() {
        return null;
    }

    @Override
    public XnioWorker getWorker() {
        return null;
    }

    @Override
    public long read(ByteBuffer[] into, int offset, int length) {
        throw new UnsupportedOperationException();
    }

    @Override
    public long transferTo(long position, long count, FileChannel target) {
        throw new UnsupportedOperationException();
    }

    @Override
    public long transferTo(long count, ByteBuffer throughBuffer, StreamSinkChannel target) {
        throw new UnsupportedOperationException();
    }

    @Override
    public void wakeupReads() {
        throw new UnsupportedOperationException();
    }

    @Override
    public void awaitReadable() {
        throw new UnsupportedOperationException();
    }

    @Override
    public void awaitReadable(long time, TimeUnit unit) {
        throw new UnsupportedOperationException();
    }
}
