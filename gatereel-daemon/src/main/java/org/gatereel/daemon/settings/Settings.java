package org.gatereel.daemon.settings;

import java.util.List;
import org.gatereel.core.model.Address;
import org.gatereel.core.model.DataCentre;
import org.gatereel.core.model.HostDescription;
import org.gatereel.core.model.HostId;
import org.gatereel.core.platform.StoreLimits;

/**
 * The validated settings of an entry host.
 *
 * @param storeLimits limits of the platform's store for all hosts together
 * @param peers entry hosts to contact before the platform's host list is read
 * @param operators users of the administration API
 * @param drainMillis maximum time for which a graceful shutdown waits for open requests
 * @param balancerMillis time for which new requests are accepted after the readiness check fails
 * @param mostBodyBytes maximum size of a request body
 * @param mostWaitingBytes maximum number of response bytes that a caller has not yet read
 * @param eventRing number of events that the timeline keeps
 */
public record Settings(
    HostId host,
    DataCentre dataCentre,
    Address httpAddress,
    Address peerAddress,
    Address platform,
    StoreLimits storeLimits,
    List<HostDescription> peers,
    List<Operator> operators,
    int drainMillis,
    int balancerMillis,
    int mostBodyBytes,
    int mostWaitingBytes,
    int eventRing,
    LogLevel logLevel) {
  public Settings {
    peers = List.copyOf(peers);
    operators = List.copyOf(operators);
  }

  /** An operator and the SHA-256 of the operator's bearer key, in hexadecimal digits. */
  public record Operator(String name, String keySha256) {}

  /** The level of the log; it does not affect the timeline. */
  public enum LogLevel {
    /** Failures only. */
    WARNING,
    /** Every numbered event. */
    INFO
  }
}
