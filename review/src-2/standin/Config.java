package standin;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Configurations of a node, made from the complete minimal one, example/node.json. */
public final class Config {
    private String json;

    public Config() throws IOException {
        json = Files.readString(Path.of("example/node.json"));
    }

    private void replace(String pattern, String value) {
        String changed = json.replaceFirst(pattern, java.util.regex.Matcher.quoteReplacement(value));
        if (changed.equals(json) && !json.contains(value)) {
            throw new IllegalStateException("not in example/node.json: " + pattern);
        }
        json = changed;
    }

    public Config listen(int port) {
        replace("\"listen\": *\"[^\"]*\"", "\"listen\": \"127.0.0.1:" + port + "\"");
        return this;
    }

    public Config discovery(String address) {
        replace("\"discovery\": *\"[^\"]*\"", "\"discovery\": \"" + address + "\"");
        return this;
    }

    public Config management(int port) {
        json = json.replaceFirst("\\{", "{\n \"management\": \"127.0.0.1:" + port + "\",");
        return this;
    }

    /** Replaces the list that the node last held. */
    public Config known(String list) {
        replace("(?s)\"known\": *\\{.*?\\]\\s*\\}", "\"known\": " + list);
        return this;
    }

    /** Replaces the value of a key in the settings; the first of that name in the file. */
    public Config setting(String key, String value) {
        replace("\"" + key + "\": *(\"[^\"]*\"|[-0-9.a-zA-Z]+)", "\"" + key + "\": " + value);
        return this;
    }

    /** Lists are pushed to an agent on the node's machine. */
    public Config pushed() {
        replace("\"Discovery\": *\"ask\"", "\"Discovery\": \"push\"");
        return this;
    }

    /** Replaces the value of a key in one class. */
    public Config inClass(String name, String key, String value) {
        int at = json.indexOf("\"Name\": \"" + name + "\"");
        int start = json.lastIndexOf('{', at);
        int end = json.indexOf('}', at);
        String changed = json.substring(start, end)
                .replaceFirst(
                        "\"" + key + "\": *(\"[^\"]*\"|[-0-9.a-zA-Z]+)",
                        java.util.regex.Matcher.quoteReplacement("\"" + key + "\": " + value));
        json = json.substring(0, start) + changed + json.substring(end);
        return this;
    }

    public Path write(Path file) throws IOException {
        return Files.writeString(file, json);
    }
}
