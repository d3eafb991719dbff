package org.gatereel.core.forward;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.model.TargetDescription;
import org.gatereel.core.model.TargetId;
import org.gatereel.core.statement.Announcements;

/**
 * A {@link TargetPort} that passes the announcements in probe responses to {@link
 * AnnouncementReceiver}.
 */
final class ObservingTargetPort implements TargetPort {
  private final CoreContext context;
  private final TargetPort port;
  private final AnnouncementReceiver announcementReceiver;

  ObservingTargetPort(
      CoreContext context, TargetPort port, AnnouncementReceiver announcementReceiver) {
    this.context = context;
    this.port = port;
    this.announcementReceiver = announcementReceiver;
  }

  @Override
  public Call send(Dispatch dispatch, Listener listener) {
    return port.send(dispatch, listener);
  }

  @Override
  public void probe(TargetDescription target, long timeoutMillis, ProbeListener listener) {
    long sentAt = context.now();
    port.probe(
        target,
        timeoutMillis,
        new ProbeListener() {
          @Override
          public void onAnnouncements(Announcements announcements) {
            announcementReceiver.receive(target, announcements, sentAt);
          }

          @Override
          public void onResult(ProbeResult result) {
            listener.onResult(result);
          }
        });
  }

  @Override
  public void listPrompts(
      TargetDescription target,
      long timeoutMillis,
      Consumer<Announcements> announcementListener,
      Consumer<Optional<Set<String>>> callback) {
    long sentAt = context.now();
    port.listPrompts(
        target,
        timeoutMillis,
        announcements -> {
          announcementReceiver.receive(target, announcements, sentAt);
          announcementListener.accept(announcements);
        },
        callback);
  }

  @Override
  public OptionalLong pathLostAt(TargetId target) {
    return port.pathLostAt(target);
  }
}
