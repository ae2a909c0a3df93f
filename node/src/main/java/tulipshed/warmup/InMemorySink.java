package tulipshed.warmup;

import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.util.concurrent.TimeUnit;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import org.xnio.channels.StreamSourceChannel;
import org.xnio.conduits.StreamSinkConduit;
import org.xnio.conduits.WriteReadyHandler;

/**
 * The output of the node on an in-memory connection; every write completes at once. Operations that the node does not
 * use are unsupported.
 */
final class InMemorySink implements StreamSinkConduit {
    private final InMemoryConnection connection;
    private boolean isShutDown;

    InMemorySink(InMemoryConnection connection) {
        this.connection = connection;
    }

    @Override
    public int write(ByteBuffer bytes) {
        return connection.write(bytes);
    }

    @Override
    public void terminateWrites() {
        isShutDown = true;
        connection.endOutput();
    }

    @Override
    public void truncateWrites() {
        terminateWrites();
    }

    @Override
    public boolean isWriteShutdown() {
        return isShutDown;
    }

    @Override
    public boolean flush() {
        return true;
    }

    @Override
    public void suspendWrites() {
        // Every write completes at once, so there is nothing to wait for.
    }

    @Override
    public boolean isWriteResumed() {
        return false;
    }

    @Override
    public void setWriteReadyHandler(WriteReadyHandler handler) {
        // Every write completes at once, so there is nothing to wait for.
    }

    @Override
    public XnioIoThread getWriteThread() {
        return null;
    }

    @Override
    public XnioWorker getWorker() {
        return null;
    }

    @Override
    public void resumeWrites() {
        throw new UnsupportedOperationException();
    }

    @Override
    public void wakeupWrites() {
        throw new UnsupportedOperationException();
    }

    @Override
    public long write(ByteBuffer[] bytes, int offset, int length) {
        throw new UnsupportedOperationException();
    }

    @Override
    public int writeFinal(ByteBuffer bytes) {
        throw new UnsupportedOperationException();
    }

    @Override
    public long writeFinal(ByteBuffer[] bytes, int offset, int length) {
        throw new UnsupportedOperationException();
    }

    @Override
    public long transferFrom(FileChannel source, long position, long count) {
        throw new UnsupportedOperationException();
    }

    @Override
    public long transferFrom(StreamSourceChannel source, long count, ByteBuffer throughBuffer) {
        throw new UnsupportedOperationException();
    }

    @Override
    public void awaitWritable() {
        throw new UnsupportedOperationException();
    }

    @Override
    public void awaitWritable(long time, TimeUnit unit) {
        throw new UnsupportedOperationException();
    }
}
