package org.gatereel.forward.http;

/** Why a caller's connection was closed. */
public enum CloseReason {
  /** The caller closed or reset it. */
  CALLER,
  /** It had no request for longer than the idle timeout. */
  IDLE_TIMEOUT,
  /** The host is draining, and the connection had no request. */
  DRAINING,
  /** The process ends. */
  SHUTDOWN,
  /** A response said that it is the last one. */
  LAST_RESPONSE,
  /** A response cannot be completed, or could not be written. */
  BROKEN_RESPONSE,
  /** Nothing of a response could be written for the idle timeout. */
  CALLER_DOES_NOT_READ,
  /** A request head was not received in time. */
  HEAD_TIMEOUT,
  /** An exception occurred in the pipeline. */
  EXCEPTION
}
