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
 * Hands what targets say of themselves to whoever keeps to it.
 *
 * <p>A request names the target that is meant, and another one says so; so every other answer is
 * the target's word, also an error, a refusal, or one that is not passed on.
 */
final class StatementIntake {
  /** A target whose words cannot be read fills no log. */
  private static final long LOG_MILLIS = 1_000;

  private final CoreContext context;
  private final TargetFacts facts;
  private final AnnouncedLimits limits;
  private final TargetBackoffs rests;
  private final UnknownHeaders unknown;
  private long unreadableLoggedAt = Long.MIN_VALUE / 2;
  private long contradictionLoggedAt = Long.MIN_VALUE / 2;

  StatementIntake(
      CoreContext context, TargetFacts facts, AnnouncedLimits limits, TargetBackoffs rests) {
    this.context = context;
    this.facts = facts;
    this.limits = limits;
    this.rests = rests;
    this.unknown = new UnknownHeaders(context);
  }

  /** The head of an attempt's answer is here. */
  void heard(Attempt from) {
    AnswerHead head = from.head();
    if (head.status() != AnswerHead.MISDIRECTED) {
      TargetDescription target = from.target().description();
      heard(target, head.statements(), from.startedAt());
      heardNothing(target.id(), head, from.startedAt());
    }
  }

  /**
   * A target has said something.
   *
   * @param sentAt when the question was sent that it answers, in milliseconds
   */
  void heard(TargetDescription target, Announcements said, long sentAt) {
    TargetId id = target.id();
    unknown.log(target.service(), id, said.unknown());
    noteUnreadable(id, FactKind.LIMIT, said.limit());
    noteUnreadable(id, FactKind.LEAVING, said.leaving());
    noteUnreadable(id, FactKind.REST, said.backoffMillis());
    said.limit().announced().ifPresent(limit -> limits.observe(id, limit, sentAt));
    if (said.isLeaving()) {
      facts.observe(new LeavingFact(id, context.now()));
    }
    if (said.backoffMillisOrZero() > 0) {
      rests.observe(id, said.backoffMillisOrZero());
    }
  }

  /** What a target said before and does not say any more; only an answer of its own shows that. */
  private void heardNothing(TargetId target, AnswerHead head, long sentAt) {
    if (!head.isAuthentic()) {
      return;
    }
    Announcements said = head.statements();
    if (said.limit().equals(Announcement.none())) {
      limits.observeNone(target, sentAt);
    }
    boolean leftBefore =
        facts
            .find(FactKind.LEAVING, target)
            .filter(fact -> sentAt > fact.announcedAt())
            .isPresent();
    if (leftBefore && !said.isLeaving()) {
      noteContradiction(target);
    }
  }

  private void noteContradiction(TargetId target) {
    if (context.now() - contradictionLoggedAt >= LOG_MILLIS) {
      contradictionLoggedAt = context.now();
      context.note(EventCode.LEAVING_CONTRADICTED, target.toString(), "");
    }
  }

  private void noteUnreadable(TargetId target, FactKind kind, Announcement<?> said) {
    boolean loggedLately = context.now() - unreadableLoggedAt < LOG_MILLIS;
    if (said.unreadable().isPresent() && !loggedLately) {
      unreadableLoggedAt = context.now();
      context.note(
          EventCode.STATEMENT_UNREADABLE,
          target.toString(),
          "kind=" + kind + " text=" + said.unreadable().get());
    }
  }
}
