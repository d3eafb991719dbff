package org.gatereel.core.overload;

/**
 * Demand and capacity of a service over all hosts, as known when a request is decided on.
 *
 * @param arrivalsPerSecond the requests per second that arrive
 * @param servedPerSecond the requests per second that can be served
 * @param fairWeight how often the request's account is admitted relative to the other accounts of
 *     its rank; 1 for an account within its share
 */
record ServiceSituation(double arrivalsPerSecond, double servedPerSecond, double fairWeight) {}
