package org.gatereel.daemon.callers;

import io.jooby.MediaType;
import org.gatereel.core.model.Outcome;
import org.gatereel.core.model.ProblemType;
import org.gatereel.core.table.TableEdit;

/** The problem document for an edit that conflicts with another one, with the row in force. */
record EditConflict(String type, String title, int status, Outcome outcome, TableEdit present) {
  private static final MediaType MEDIA_TYPE = MediaType.valueOf("application/problem+json");

  static void send(CallerExchange exchange, TableEdit present) {
    ProblemType type = ProblemType.LOST_RACE;
    EditConflict body =
        new EditConflict(type.uri(), type.title(), type.status(), Outcome.NOT_RUN, present);
    exchange.respond(type.status(), MEDIA_TYPE, ProblemDocument.json(body));
  }
}
