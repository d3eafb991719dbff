package org.gatereel.core.forward;

import org.gatereel.core.limit.LimitBook;
import org.gatereel.core.model.TargetDescription;
import org.gatereel.core.statement.LimitStatement;
import org.gatereel.core.statement.Statements;
import org.gatereel.core.statement.UnknownHeaders;

/** Hands what targets say of themselves in their answers to whoever keeps to it. */
final class StatementIntake {
  private final LimitBook limits;
  private final UnknownHeaders unknown;

  StatementIntake(LimitBook limits, UnknownHeaders unknown) {
    this.limits = limits;
    this.unknown = unknown;
  }

  /** The head of an attempt's answer is here. */
  void heard(Attempt from) {
    TargetDescription target = from.target().description();
    AnswerHead head = from.head();
    Statements said = head.statements();
    unknown.note(target.service(), target.id(), said.unknown());
    // Only an answer of the target's own may lift a limit by not naming it.
    if (head.isAuthentic() || !said.limit().equals(LimitStatement.NONE)) {
      limits.hear(target.id(), said.limit(), from.startedAt());
    }
  }
}
