/**
 * Estimates of how long a target would take for a request.
 *
 * <p>Admission, placement and overload control share these interfaces; {@link
 * org.gatereel.core.estimate.FirstEventEstimates} is the only source of expected times.
 */
package org.gatereel.core.estimate;
