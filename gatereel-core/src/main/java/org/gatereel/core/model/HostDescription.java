package org.gatereel.core.model;

/**
 * One entry host as the platform's list or the settings describe it.
 *
 * @param peerAddress where other entry hosts reach it
 * @param httpAddress where callers and operators reach it
 */
public record HostDescription(
    HostId id, DataCentre dataCentre, Address peerAddress, Address httpAddress, LifeState state) {}
