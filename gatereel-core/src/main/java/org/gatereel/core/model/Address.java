package org.gatereel.core.model;

/** An IP address and a port. */
public record Address(String ip, int port) {
  @Override
  public String toString() {
    return ip + ":" + port;
  }
}
