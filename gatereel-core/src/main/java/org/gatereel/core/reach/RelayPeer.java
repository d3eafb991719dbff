package org.gatereel.core.reach;

import org.gatereel.core.model.Address;
import org.gatereel.core.model.DataCentre;

/**
 * Another host that may relay connections to targets.
 *
 * @param address the address at which other hosts query it
 * @param dataCentre the data centre of the host
 */
public record RelayPeer(Address address, DataCentre dataCentre) {}
