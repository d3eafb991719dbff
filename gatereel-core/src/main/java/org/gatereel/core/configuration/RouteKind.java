package org.gatereel.core.configuration;

/** The kind of a route's requests, which determines how often one may be executed. */
public enum RouteKind {
  /** A single response; the request may be executed more than once. */
  REPEATABLE,
  /** A single response; the request is executed at most once. */
  ONCE,
  /** An event stream; the request is executed at most once unless the route is resumable. */
  STREAM
}
