package org.gatereel.core.generation;

import java.util.Optional;
import java.util.regex.Pattern;
import org.gatereel.core.model.HostId;
import org.gatereel.core.model.RequestId;
import org.gatereel.core.model.TargetId;

/**
 * The id of one event of a stream; it says where the generation can be picked up.
 *
 * <p>A caller that lost its connection sends it as {@code Last-Event-ID} to any entry host, which
 * then needs no directory. Example: {@code 1~4be2~host-1~host-5~engine-3~2~1~17~9e3779b97f4a7c15}.
 *
 * @param holder the host that holds the copy; empty if the owner was cut off from every peer
 * @param target the engine that gave the token
 * @param offset how many tokens the caller has once it has this event
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
   * Reads an event id.
   *
   * @throws MalformedEventIdException if the text was not written by {@link #toString}
   */
  public static EventId parse(String text) throws MalformedEventIdException {
    String[] parts = SEPARATOR.split(text, -1);
    if (parts.length != FIELD_COUNT || !parts[0].equals(VERSION)) {
      throw new MalformedEventIdException(text);
    }
    try {
      return new EventId(
          new RequestId(parts[1]),
          new HostId(parts[2]),
          parts[3].equals(NONE) ? Optional.empty() : Optional.of(new HostId(parts[3])),
          new TargetId(parts[4]),
          Integer.parseUnsignedInt(parts[5]),
          Integer.parseUnsignedInt(parts[6]),
          Integer.parseInt(parts[7]),
          Long.parseUnsignedLong(parts[8], 16));
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
