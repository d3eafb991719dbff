package org.gatereel.forward.peer;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.function.Consumer;
import org.gatereel.core.limit.TokenGrant;
import org.gatereel.core.limit.TokenPort;
import org.gatereel.core.limit.TokenRequest;
import org.gatereel.core.model.Address;
import org.gatereel.forward.ControlThread;
import org.gatereel.forward.http.DocumentClient;

/**
 * Asks lenders for loans: each of them one question after the other, over a connection that is kept
 * while it is used.
 */
public final class LoanClient implements TokenPort, AutoCloseable {
  /** A request waits for the answer meanwhile; hosts of a data centre need a few milliseconds. */
  private static final long TIMEOUT_MILLIS = 150;

  /** Who asked first waits for this answer too, and has to have one within its own time. */
  private static final long PASSED_ON_TIMEOUT_MILLIS = 60;

  /** Lenders of targets with limits are asked several times a second. */
  private static final long UNUSED_MILLIS = 10_000;

  private static final int OK = 200;
  private static final byte[] NO_BODY = {};

  private final ControlThread control;
  private final Map<Address, Connection> connections = new HashMap<>();

  private record Question(TokenRequest subject, int count, Consumer<Optional<TokenGrant>> answer) {
    long timeoutMillis() {
      boolean passedOn =
          subject instanceof TokenRequest.LimitTokens requests && requests.forwarded();
      return passedOn ? PASSED_ON_TIMEOUT_MILLIS : TIMEOUT_MILLIS;
    }
  }

  /** The way to one lender. */
  private final class Connection {
    private final DocumentClient client;
    private final Queue<Question> questions = new ArrayDeque<>();
    private boolean asking;
    private long usedAt;

    private Connection(Address lender) {
      client = new DocumentClient(control.loop(), lender);
    }

    private void ask(Question question) {
      usedAt = ControlThread.nowMillis();
      questions.add(question);
      askNext();
    }

    private void askNext() {
      if (asking || questions.isEmpty()) {
        return;
      }
      asking = true;
      Question question = questions.remove();
      client.post(
          LoanMessages.write(question.subject(), question.count(), usedAt),
          NO_BODY,
          question.timeoutMillis(),
          document -> answered(question, document));
    }

    private void answered(Question question, Optional<DocumentClient.Document> document) {
      asking = false;
      control.run(() -> question.answer().accept(document.flatMap(LoanClient::read)));
      if (document.isEmpty()) {
        // Whoever waits behind it would wait as long for a host that does not answer.
        giveUpAll();
      }
      askNext();
    }

    private void giveUpAll() {
      Queue<Question> waiting = new ArrayDeque<>(questions);
      questions.clear();
      waiting.forEach(question -> control.run(() -> question.answer().accept(Optional.empty())));
    }

    private boolean isUnused(long now) {
      return !asking && now - usedAt > UNUSED_MILLIS;
    }
  }

  public LoanClient(ControlThread control) {
    this.control = control;
  }

  @Override
  public void requestTokens(
      Address lender, TokenRequest subject, int count, Consumer<Optional<TokenGrant>> answer) {
    closeUnused();
    connections.computeIfAbsent(lender, Connection::new).ask(new Question(subject, count, answer));
  }

  private static Optional<TokenGrant> read(DocumentClient.Document document) {
    return document.status() == OK && document.hasOwnEnd()
        ? LoanMessages.readAnswer(document.body())
        : Optional.empty();
  }

  private void closeUnused() {
    long now = ControlThread.nowMillis();
    Iterator<Connection> each = connections.values().iterator();
    while (each.hasNext()) {
      Connection connection = each.next();
      if (connection.isUnused(now)) {
        each.remove();
        connection.client.close();
      }
    }
  }

  @Override
  public void close() {
    control.loop().execute(() -> connections.values().forEach(each -> each.client.close()));
  }
}
