package org.gatereel.core.forward;

import org.gatereel.core.event.EventCode;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.limit.AnnouncedLimits;
import org.gatereel.core.model.TargetDescription;
import org.gatereel.core.model.TargetId;
import org.gatereel.core.rest.TargetBackoffs;
import org.gatereel.core.statement.Announcement;
import org.gatereel.core.statement.Announcements;
import org.gatereel.core.statement.FactKind;
import org.gatereel.core.statement.LeavingFact;
import org.gatereel.core.statement.TargetFacts;
import org.gatereel.core.statement.UnknownHeaders;

/**
 * Distributes the announcements of targets to the components that follow them.
 *
 * <p>A request names its intended target, and any other target responds with {@link
 * ResponseHead#MISDIRECTED}; so every other response carries announcements of the intended target,
 * including errors and responses that are not forwarded.
 */
final class AnnouncementReceiver {
  /** Limits the log lines for a target with unreadable announcements. */
  private static final long LOG_INTERVAL_MILLIS = 1_000;

  private final CoreContext context;
  private final TargetFacts facts;
  private final AnnouncedLimits limits;
  private final TargetBackoffs backoffs;
  private final UnknownHeaders unknownHeaders;
  private long unreadableLoggedAt = Long.MIN_VALUE / 2;
  private long contradictionLoggedAt = Long.MIN_VALUE / 2;

  AnnouncementReceiver(
      CoreContext context, TargetFacts facts, AnnouncedLimits limits, TargetBackoffs backoffs) {
    this.context = context;
    this.facts = facts;
    this.limits = limits;
    this.backoffs = backoffs;
    this.unknownHeaders = new UnknownHeaders(context);
  }

  /** Processes the announcements in the response head of an attempt. */
  void receive(Attempt from) {
    ResponseHead head = from.head();
    if (head.status() != ResponseHead.MISDIRECTED) {
      TargetDescription target = from.target().description();
      receive(target, head.announcements(), from.startedAt());
      recordAbsent(target.id(), head, from.startedAt());
    }
  }

  /**
   * Processes announcements of a target.
   *
   * @param sentAt when the request was sent to which they respond, in milliseconds
   */
  void receive(TargetDescription target, Announcements announcements, long sentAt) {
    TargetId id = target.id();
    unknownHeaders.log(target.service(), id, announcements.unknown());
    logUnreadable(id, FactKind.LIMIT, announcements.limit());
    logUnreadable(id, FactKind.LEAVING, announcements.leaving());
    logUnreadable(id, FactKind.REST, announcements.backoffMillis());
    announcements.limit().announced().ifPresent(limit -> limits.observe(id, limit, sentAt));
    if (announcements.isLeaving()) {
      facts.observe(new LeavingFact(id, context.now()));
    }
    if (announcements.backoffMillisOrZero() > 0) {
      backoffs.observe(id, announcements.backoffMillisOrZero());
    }
  }

  /** Handles the absence of earlier announcements; only an authentic response shows it. */
  private void recordAbsent(TargetId target, ResponseHead head, long sentAt) {
    if (!head.isAuthentic()) {
      return;
    }
    Announcements announcements = head.announcements();
    if (announcements.limit().equals(Announcement.none())) {
      limits.observeNone(target, sentAt);
    }
    boolean announcedLeavingBefore =
        facts
            .find(FactKind.LEAVING, target)
            .filter(fact -> sentAt > fact.announcedAt())
            .isPresent();
    if (announcedLeavingBefore && !announcements.isLeaving()) {
      logContradiction(target);
    }
  }

  private void logContradiction(TargetId target) {
    if (context.now() - contradictionLoggedAt >= LOG_INTERVAL_MILLIS) {
      contradictionLoggedAt = context.now();
      context.logEvent(EventCode.LEAVING_CONTRADICTED, target.toString(), "");
    }
  }

  private void logUnreadable(TargetId target, FactKind kind, Announcement<?> announcement) {
    boolean loggedRecently = context.now() - unreadableLoggedAt < LOG_INTERVAL_MILLIS;
    if (announcement.unreadable().isPresent() && !loggedRecently) {
      unreadableLoggedAt = context.now();
      context.logEvent(
          EventCode.STATEMENT_UNREADABLE,
          target.toString(),
          "kind=" + kind + " text=" + announcement.unreadable().get());
    }
  }
}
