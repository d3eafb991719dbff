package org.gatereel.daemon.callers;

import io.jooby.MediaType;
import org.gatereel.core.model.Outcome;
import org.gatereel.core.model.ProblemType;
import org.gatereel.core.table.TableEdit;

/** The answer to an edit that lost a race: a problem document with the row as it is now. */
record LostRace(String type, String title, int status, Outcome outcome, TableEdit present) {
  private static final MediaType MEDIA_TYPE = MediaType.valueOf("application/problem+json");

  static void answer(Exchange exchange, TableEdit present) {
    ProblemType type = ProblemType.LOST_RACE;
    LostRace body = new LostRace(type.uri(), type.title(), type.status(), Outcome.NOT_RUN, present);
    exchange.answer(type.status(), MEDIA_TYPE, ProblemDocument.json(body));
  }
}
