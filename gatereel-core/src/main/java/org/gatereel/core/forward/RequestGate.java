package org.gatereel.core.forward;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.gatereel.core.document.DocumentFreshness;
import org.gatereel.core.document.DocumentKind;
import org.gatereel.core.internal.CoreContext;

/**
 * Accepts the requests of callers; holds them while the configuration may be outdated, and refuses
 * them if a host that stood still does not learn in time whether it is.
 */
public final class RequestGate {
  private final CoreContext context;
  private final DocumentFreshness freshness;
  private final Forwarder forwarder;
  private final Set<HeldRequest> held = new LinkedHashSet<>();

  public RequestGate(CoreContext context, DocumentFreshness freshness, Forwarder forwarder) {
    this.context = context;
    this.freshness = freshness;
    this.forwarder = forwarder;
  }

  /**
   * Accepts a complete request, as {@link Forwarder#accept} does, possibly after a refresh of the
   * configuration. Returns empty if the request was rejected at once.
   */
  public Optional<AcceptedRequest> accept(ForwardRequest request, CallerPort caller) {
    if (!freshness.isUncertain(DocumentKind.CONFIGURATION)) {
      return forwarder.accept(request, caller).map(AcceptedRequest.class::cast);
    }
    HeldRequest waiting = new HeldRequest(request, caller, context.now());
    held.add(waiting);
    freshness.await(
        DocumentKind.CONFIGURATION,
        request.remainingMillis().orElse(Long.MAX_VALUE),
        waiting::release,
        waiting::refuse);
    return Optional.of(waiting);
  }

  /** Returns how many requests are held. */
  public int heldCount() {
    return held.size();
  }

  /** Passes on all held requests; a forwarder that is shutting down rejects them. */
  public void releaseAll() {
    List.copyOf(held).forEach(HeldRequest::release);
  }

  /** A request whose route has not been looked up. */
  private final class HeldRequest implements AcceptedRequest {
    private final ForwardRequest request;
    private final CallerPort caller;
    private final long receivedAt;
    private Optional<Exchange> exchange = Optional.empty();

    private HeldRequest(ForwardRequest request, CallerPort caller, long receivedAt) {
      this.request = request;
      this.caller = caller;
      this.receivedAt = receivedAt;
    }

    private void release() {
      if (held.remove(this)) {
        exchange = forwarder.accept(request, caller, receivedAt);
      }
    }

    private void refuse() {
      if (held.remove(this)) {
        forwarder.refuse(request, caller, Rejection.STALE_CONFIGURATION);
      }
    }

    @Override
    public void onCallerDisconnected() {
      held.remove(this);
      exchange.ifPresent(Exchange::onCallerDisconnected);
    }
  }
}
