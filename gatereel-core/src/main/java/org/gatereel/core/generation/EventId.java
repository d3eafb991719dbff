package org.gatereel.core.generation;

import java.util.Optional;
import java.util.regex.Pattern;
import org.gatereel.core.model.HostId;
import org.gatereel.core.model.RequestId;
import org.gatereel.core.model.TargetId;

/**
 * The id of one event of a stream, with all that a host needs to resume the generation after it.
 *
 * <p>A caller that lost its connection sends it as {@code Last-Event-ID} to any entry host.
 * Example: {@code 1~4be2~host-1~host-5~engine-3~2~1~17~9e3779b97f4a7c15}.
 *
 * @param holder the host that holds the copy; empty if the generation has no copy
 * @param target the engine that generated the token
 * @param offset the number of tokens that the caller has received, including this event
 * @param digest the {@link PrefixDigest} of those tokens
 */
public record EventId(
    RequestId request,
    HostId owner,
    Optional<HostId> holder,
    TargetId target,
    int attempt,
    int epoch,
    int offset,
    long digest) {
  private static final String VERSION = "1";
  private static final String NONE = "-";
  private static final Pattern SEPARATOR = Pattern.compile("~");
  private static final int FIELD_COUNT = 9;

  /**
   * Parses the text of an event id.
   *
   * @throws MalformedEventIdException if the text was not written by {@link #toString}
   */
  public static EventId parse(String text) throws MalformedEventIdException {
    String[] fields = SEPARATOR.split(text, -1);
    if (fields.length != FIELD_COUNT || !fields[0].equals(VERSION)) {
      throw new MalformedEventIdException(text);
    }
    try {
      return new EventId(
          new RequestId(fields[1]),
          new HostId(fields[2]),
          fields[3].equals(NONE) ? Optional.empty() : Optional.of(new HostId(fields[3])),
          new TargetId(fields[4]),
          Integer.parseUnsignedInt(fields[5]),
          Integer.parseUnsignedInt(fields[6]),
          Integer.parseInt(fields[7]),
          Long.parseUnsignedLong(fields[8], 16));
    } catch (NumberFormatException e) {
      throw new MalformedEventIdException(text);
    }
  }

  @Override
  public String toString() {
    return String.join(
        "~",
        VERSION,
        request.value(),
        owner.value(),
        holder.map(HostId::value).orElse(NONE),
        target.value(),
        Integer.toString(attempt),
        Integer.toString(epoch),
        Integer.toString(offset),
        Long.toHexString(digest));
  }
}
