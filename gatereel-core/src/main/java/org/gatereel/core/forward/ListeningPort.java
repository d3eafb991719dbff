package org.gatereel.core.forward;

import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.model.TargetDescription;
import org.gatereel.core.statement.Announcements;

/** The way to targets, on which what they say in answers to probes is listened to. */
final class ListeningPort implements TargetPort {
  private final CoreContext context;
  private final TargetPort port;
  private final StatementIntake statements;

  ListeningPort(CoreContext context, TargetPort port, StatementIntake statements) {
    this.context = context;
    this.port = port;
    this.statements = statements;
  }

  @Override
  public Call send(Dispatch dispatch, Listener listener) {
    return port.send(dispatch, listener);
  }

  @Override
  public void probe(TargetDescription target, long timeoutMillis, ProbeListener listener) {
    long askedAt = context.now();
    port.probe(
        target,
        timeoutMillis,
        new ProbeListener() {
          @Override
          public void heard(Announcements said) {
            statements.heard(target, said, askedAt);
          }

          @Override
          public void probed(ProbeResult result) {
            listener.probed(result);
          }
        });
  }

  @Override
  public void listPrompts(
      TargetDescription target,
      long timeoutMillis,
      Consumer<Announcements> heard,
      Consumer<Optional<Set<String>>> answer) {
    long askedAt = context.now();
    port.listPrompts(
        target,
        timeoutMillis,
        said -> {
          statements.heard(target, said, askedAt);
          heard.accept(said);
        },
        answer);
  }
}
