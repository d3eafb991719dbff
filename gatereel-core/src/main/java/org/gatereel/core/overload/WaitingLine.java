package org.gatereel.core.overload;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToIntFunction;
import org.gatereel.core.internal.DecayingCount;
import org.gatereel.core.load.DemandKey;
import org.gatereel.core.model.ServiceName;

/**
 * The requests that wait at this host, by class of urgency.
 *
 * <p>Within a class, the request that is due first goes first. For each recent admission of its
 * account a request counts as due later, so that accounts with many requests do not displace the
 * others. Requests are told apart by identity.
 */
final class WaitingLine {
  /** How much later the requests of an account count as due for each of its admissions. */
  private static final long ADMISSION_PENALTY_MILLIS = 1_000;

  private static final long ADMISSION_HALF_LIFE_MILLIS = 4_000;

  private final Map<DemandKey, DecayingCount> admissions = new HashMap<>();
  private final List<Entry> entries = new ArrayList<>();

  private static final class Entry {
    private final ArrivingRequest request;
    private final Runnable onTurn;
    private boolean admitted;

    private Entry(ArrivingRequest request, Runnable onTurn) {
      this.request = request;
      this.onTurn = onTurn;
    }
  }

  /**
   * Adds a request.
   *
   * @param onTurn is run when the request is admitted in the turn of another one
   */
  void add(ArrivingRequest request, Runnable onTurn) {
    entries.add(new Entry(request, onTurn));
  }

  /** Removes a request; the admissions of accounts are forgotten once nothing waits. */
  void remove(ArrivingRequest request) {
    entries.removeIf(entry -> entry.request == request);
    if (entries.isEmpty()) {
      admissions.clear();
    }
  }

  boolean contains(ArrivingRequest request) {
    return entries.stream().anyMatch(entry -> entry.request == request);
  }

  int size() {
    return entries.size();
  }

  boolean isAdmitted(ArrivingRequest request) {
    return entries.stream().anyMatch(entry -> entry.request == request && entry.admitted);
  }

  /** Admits a waiting request; returns what is to be run for its turn. */
  Runnable admit(ArrivingRequest request, long now) {
    Entry admitted =
        entries.stream().filter(entry -> entry.request == request).findFirst().orElseThrow();
    admitted.admitted = true;
    admissions
        .computeIfAbsent(request.demandKey(), any -> new DecayingCount(ADMISSION_HALF_LIFE_MILLIS))
        .increment(now);
    return admitted.onTurn;
  }

  /** Returns how many requests wait for a service, by class. */
  Map<Integer, Integer> countsByClass(
      ServiceName service, ToIntFunction<ArrivingRequest> classOfRequest) {
    Map<Integer, Integer> counts = new HashMap<>();
    waitingFor(service)
        .forEach(request -> counts.merge(classOfRequest.applyAsInt(request), 1, Integer::sum));
    return counts;
  }

  /** Returns the services for which requests wait. */
  List<ServiceName> services() {
    return entries.stream().map(entry -> entry.request.service()).distinct().toList();
  }

  /** Returns the request of a class that goes first. */
  Optional<ArrivingRequest> first(
      ServiceName service,
      int wantedClass,
      ToIntFunction<ArrivingRequest> classOfRequest,
      long now) {
    return waitingFor(service).stream()
        .filter(request -> classOfRequest.applyAsInt(request) == wantedClass)
        .min(Comparator.comparingDouble(request -> effectiveDueAt(request, now)));
  }

  private double effectiveDueAt(ArrivingRequest request, long now) {
    DecayingCount recent = admissions.get(request.demandKey());
    double penalty = recent == null ? 0 : recent.valueAt(now) * ADMISSION_PENALTY_MILLIS;
    return request.dueAt() + penalty;
  }

  private List<ArrivingRequest> waitingFor(ServiceName service) {
    return entries.stream()
        .filter(entry -> !entry.admitted && entry.request.service().equals(service))
        .map(entry -> entry.request)
        .toList();
  }
}
