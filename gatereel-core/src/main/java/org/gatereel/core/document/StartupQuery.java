package org.gatereel.core.document;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.gatereel.core.event.EventCode;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.model.Address;
import org.gatereel.core.model.TargetId;

/**
 * Queries other hosts for their documents before a host that has just started reads its own.
 *
 * <p>A store that has returned from an older copy may lack a configuration that other hosts use,
 * and a host without memory cannot tell. While the store is away no host is known, and nothing
 * could be read either. If no other host responds in time, this one uses what the store shows.
 *
 * <p>Other hosts may be silent, or may have just started too, so that several are queried side by
 * side, and those that know a configuration decide how long the others are awaited.
 */
public final class StartupQuery {
  /** Above the time-out of a query. */
  static final long TIMEOUT_MILLIS = 500;

  /** Above the time for which a store is away before it returns from a copy. */
  static final long HOSTS_TIMEOUT_MILLIS = 2_000;

  private static final long RETRY_DELAY_MILLIS = 500;
  private static final int MAX_HOSTS = 3;

  /** The number of hosts whose configurations suffice; one host may have just started. */
  private static final int SUFFICIENT_HOSTS = 2;

  /** A host that is silent now is not used as a reader for this long. */
  private static final long AVOIDANCE_MILLIS = 10_000;

  private final CoreContext context;
  private final HostDirectory directory;
  private final DocumentSources sources;
  private final DocumentRefresher refresher;
  private final Consumer<Set<TargetId>> exclusionListener;
  private Runnable next = () -> {};
  private long startedAt;
  private int pendingQueries;
  private int responses;
  private int configurations;
  private boolean hostsRead;
  private boolean completed;

  /**
   * Creates a query.
   *
   * @param sources receives the queries; it also uses the documents of other hosts
   * @param refresher receives the entries of hosts
   * @param exclusionListener receives the targets that another host knows to have left though the
   *     store lists them
   */
  public StartupQuery(
      CoreContext context,
      HostDirectory directory,
      DocumentSources sources,
      DocumentRefresher refresher,
      Consumer<Set<TargetId>> exclusionListener) {
    this.context = context;
    this.directory = directory;
    this.sources = sources;
    this.refresher = refresher;
    this.exclusionListener = exclusionListener;
  }

  /** Starts the query and runs {@code next} exactly once, at its end or after a time-out. */
  public void start(Runnable next) {
    this.next = next;
    startedAt = context.nowIncludingSuspensions();
    context.schedule(HOSTS_TIMEOUT_MILLIS, this::completeUnlessHostsAreRead);
    readHosts();
  }

  private void readHosts() {
    long queriedAt = context.nowIncludingSuspensions();
    try {
      sources.readStore(DocumentKind.HOSTS, response -> onHosts(response, queriedAt));
    } catch (RuntimeException e) {
      context.logEvent(EventCode.DOCUMENT_UNREADABLE, DocumentKind.HOSTS.name(), e.toString());
      complete();
    }
  }

  private void onHosts(DocumentSources.StoreResponse response, long queriedAt) {
    if (completed) {
      return;
    }
    if (response instanceof DocumentSources.StoreResponse.Read read) {
      hostsRead = true;
      context.schedule(TIMEOUT_MILLIS, this::complete);
      refresher.update(DocumentKind.HOSTS, read, queriedAt);
      queryHosts();
    } else {
      context.schedule(RETRY_DELAY_MILLIS, this::readHostsAgain);
    }
  }

  private void readHostsAgain() {
    if (!completed) {
      readHosts();
    }
  }

  private void completeUnlessHostsAreRead() {
    if (!hostsRead) {
      complete();
    }
  }

  private void queryHosts() {
    List<Address> hosts = directory.otherHosts(MAX_HOSTS, context.random());
    pendingQueries = hosts.size();
    hosts.forEach(this::queryHost);
    completeIfSufficient();
  }

  private void queryHost(Address host) {
    try {
      sources.queryPeer(host, new DocumentCache(), documents -> onResponse(host, documents));
    } catch (RuntimeException e) {
      context.logEvent(EventCode.PEER_QUERY_FAILED, host.toString(), e.toString());
      pendingQueries--;
    }
  }

  private void onResponse(Address host, Optional<List<DocumentSources.PeerDocument>> documents) {
    pendingQueries--;
    documents.ifPresentOrElse(
        this::use, () -> directory.avoid(host, context.now() + AVOIDANCE_MILLIS));
    completeIfSufficient();
  }

  private void use(List<DocumentSources.PeerDocument> documents) {
    if (completed) {
      return;
    }
    responses++;
    if (documents.stream().anyMatch(StartupQuery::isConfiguration)) {
      configurations++;
    }
    documents.stream()
        .map(DocumentSources.PeerDocument::excludedTargets)
        .filter(excluded -> !excluded.isEmpty())
        .forEach(exclusionListener);
  }

  private static boolean isConfiguration(DocumentSources.PeerDocument document) {
    return document.kind() == DocumentKind.CONFIGURATION && document.content().isPresent();
  }

  private void completeIfSufficient() {
    if (pendingQueries == 0 || configurations >= SUFFICIENT_HOSTS) {
      complete();
    }
  }

  private void complete() {
    if (!completed) {
      completed = true;
      context.logEvent(
          EventCode.STARTUP_QUERY_ENDED,
          context.self().value(),
          "responses="
              + responses
              + " configurations="
              + configurations
              + " millis="
              + (context.nowIncludingSuspensions() - startedAt));
      refresher.readStoreInNextRefresh();
      next.run();
    }
  }
}
