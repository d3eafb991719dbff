package org.gatereel.core.model;

/**
 * An entry host as described by the platform's list or the settings.
 *
 * @param peerAddress the address for other entry hosts
 * @param httpAddress the address for callers and operators
 */
public record HostDescription(
    HostId id, DataCentre dataCentre, Address peerAddress, Address httpAddress, LifeState state) {}
