package tulipshed.quic;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import tulipshed.config.JsonValues;
import tulipshed.config.MalformedInput;
import tulipshed.config.SettingsReader.Names;

class QuicConfigTest {
    private static final Path EXAMPLE = Path.of("deploy/quic.example.json");
    private final Names names = new Names();

    QuicConfigTest() {
        names.classes.put("slot-booking", 2);
        names.tenants.put("melnik-terminal", 1);
    }

    @Test
    void theExampleIsReadAndThePlatformsIsOff() {
        QuicConfig example = QuicConfig.load(EXAMPLE, names);
        assertEquals(4433, example.listen().getPort());
        assertEquals("slot-booking", example.requestClass());
        ConnectionId id = example.ids().id(new byte[] {0, 0, 1}, new byte[4]);
        assertEquals("s-1", example.member(id));
        assertNull(example.member(example.ids().id(new byte[] {0, 0, 2}, new byte[4])));
        assertNull(QuicConfig.load(Path.of("deploy/quic.json"), names).listen());
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {"slot-booking | slot-nothing", "\"nonce_bytes\": 4 | \"nonce_bytes\": 3",
        "000102030405060708090a0b0c0d0e0f | 0001", "\"s-1\": \"000001\" | \"s-1\": \"0001\"", "3000 | 0",
        "127.0.0.1:4433 | here", "\"key\": \"0011 | \"key\": \"00zz"})
    void whatIsWrongIsSaidInOneLine(String right, String wrong) throws IOException {
        byte[] bytes = Files.readString(EXAMPLE).replace(right, wrong).getBytes(StandardCharsets.UTF_8);
        MalformedInput e = assertThrows(MalformedInput.class, () -> QuicConfig.parse(JsonValues.object(bytes), names));
        assertFalse(e.getMessage().contains("\n"));
    }
}
