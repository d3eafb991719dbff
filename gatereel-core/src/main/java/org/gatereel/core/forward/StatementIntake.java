package org.gatereel.core.forward;

import org.gatereel.core.event.EventCode;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.limit.LimitBook;
import org.gatereel.core.model.TargetDescription;
import org.gatereel.core.model.TargetId;
import org.gatereel.core.rest.Rests;
import org.gatereel.core.statement.FactKind;
import org.gatereel.core.statement.LeavingFact;
import org.gatereel.core.statement.Statement;
import org.gatereel.core.statement.Statements;
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
  private final LimitBook limits;
  private final Rests rests;
  private final UnknownHeaders unknown;
  private long unreadableLoggedAt = Long.MIN_VALUE / 2;
  private long contradictionLoggedAt = Long.MIN_VALUE / 2;

  StatementIntake(CoreContext context, TargetFacts facts, LimitBook limits, Rests rests) {
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
  void heard(TargetDescription target, Statements said, long sentAt) {
    TargetId id = target.id();
    unknown.note(target.service(), id, said.unknown());
    noteUnreadable(id, FactKind.LIMIT, said.limit());
    noteUnreadable(id, FactKind.LEAVING, said.leaving());
    noteUnreadable(id, FactKind.REST, said.restMillis());
    said.limit().said().ifPresent(limit -> limits.hear(id, limit, sentAt));
    if (said.saysLeaving()) {
      facts.hear(new LeavingFact(id, context.now()));
    }
    if (said.rest() > 0) {
      rests.hear(id, said.rest());
    }
  }

  /** What a target said before and does not say any more; only an answer of its own shows that. */
  private void heardNothing(TargetId target, AnswerHead head, long sentAt) {
    if (!head.isAuthentic()) {
      return;
    }
    Statements said = head.statements();
    if (said.limit().equals(Statement.none())) {
      limits.hearNone(target, sentAt);
    }
    boolean leftBefore =
        facts.find(FactKind.LEAVING, target).filter(fact -> sentAt > fact.since()).isPresent();
    if (leftBefore && !said.saysLeaving()) {
      noteContradiction(target);
    }
  }

  private void noteContradiction(TargetId target) {
    if (context.now() - contradictionLoggedAt >= LOG_MILLIS) {
      contradictionLoggedAt = context.now();
      context.logEvent(EventCode.LEAVING_CONTRADICTED, target.toString(), "");
    }
  }

  private void noteUnreadable(TargetId target, FactKind kind, Statement<?> said) {
    boolean loggedLately = context.now() - unreadableLoggedAt < LOG_MILLIS;
    if (said.unreadable().isPresent() && !loggedLately) {
      unreadableLoggedAt = context.now();
      context.logEvent(
          EventCode.STATEMENT_UNREADABLE,
          target.toString(),
          "kind=" + kind + " text=" + said.unreadable().get());
    }
  }
}
