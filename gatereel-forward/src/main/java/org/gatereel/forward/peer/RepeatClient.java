package org.gatereel.forward.peer;

import java.util.ArrayDeque;
import java.util.Optional;
import java.util.Queue;
import java.util.function.IntConsumer;
import org.gatereel.core.forward.RepeatPort;
import org.gatereel.core.model.Address;
import org.gatereel.core.model.ServiceName;
import org.gatereel.forward.ControlThread;
import org.gatereel.forward.http.DocumentClient;

/** Asks the lender for repeats, one question after the other, over a connection that is kept. */
public final class RepeatClient implements RepeatPort, AutoCloseable {
  /** A stream waits for the answer meanwhile; hosts of a data centre need a few milliseconds. */
  private static final long TIMEOUT_MILLIS = 150;

  private static final int OK = 200;
  private static final byte[] NO_BODY = {};

  private final ControlThread control;
  private final Queue<Question> questions = new ArrayDeque<>();
  private DocumentClient client;
  private Address connectedTo;
  private boolean asking;

  private record Question(Address lender, RepeatLending.Question asked, IntConsumer answer) {}

  public RepeatClient(ControlThread control) {
    this.control = control;
  }

  @Override
  public void borrow(Address lender, ServiceName service, int count, IntConsumer answer) {
    questions.add(new Question(lender, new RepeatLending.Question(service, count), answer));
    askNext();
  }

  private void askNext() {
    if (asking || questions.isEmpty()) {
      return;
    }
    asking = true;
    Question question = questions.remove();
    connect(question.lender());
    client.post(
        RepeatLending.write(question.asked()),
        NO_BODY,
        TIMEOUT_MILLIS,
        document -> answered(question, document));
  }

  private void connect(Address lender) {
    if (!lender.equals(connectedTo)) {
      closeClient();
      client = new DocumentClient(control.loop(), lender);
      connectedTo = lender;
    }
  }

  private void answered(Question question, Optional<DocumentClient.Document> document) {
    asking = false;
    int lent =
        document
            .filter(found -> found.status() == OK && found.hasOwnEnd())
            .map(found -> RepeatLending.readAnswer(found.body()))
            .orElse(0);
    control.run(() -> question.answer().accept(lent));
    askNext();
  }

  private void closeClient() {
    if (client != null) {
      client.close();
      client = null;
      connectedTo = null;
    }
  }

  @Override
  public void close() {
    control.loop().execute(this::closeClient);
  }
}
