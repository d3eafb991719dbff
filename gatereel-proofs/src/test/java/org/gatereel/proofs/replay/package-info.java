/**
 * Replays of load: the real decisions of many hosts on virtual time, before modelled engines.
 *
 * <p>Only decisions are replayed: no network, store or process is modelled beyond a fixed delay for
 * a message and whether it arrives. A script says what load and which faults come when; the table
 * of the same script and seed is always the same.
 */
package org.gatereel.proofs.replay;
