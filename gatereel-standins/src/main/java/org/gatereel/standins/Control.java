package org.gatereel.standins;

import io.jooby.Jooby;
import java.util.function.Consumer;
import java.util.function.DoubleConsumer;

/** HTTP paths that make a stand-in exit, freeze, slow down or drain. */
public final class Control {
  private static final int OK = 200;
  private static final int BAD = 400;

  private final Consumer<Boolean> freeze;
  private final DoubleConsumer slowDown;
  private final Runnable reset;
  private volatile boolean leaving;

  private record Done(String command) {}

  public Control(Consumer<Boolean> freeze, DoubleConsumer slowDown) {
    this(freeze, slowDown, () -> {});
  }

  /** Makes a control whose command {@code reset} breaks every open connection. */
  public Control(Consumer<Boolean> freeze, DoubleConsumer slowDown, Runnable reset) {
    this.freeze = freeze;
    this.slowDown = slowDown;
    this.reset = reset;
  }

  /** Returns whether the stand-in is draining and rejects new requests. */
  public boolean isLeaving() {
    return leaving;
  }

  /** Adds {@code POST /control/{command}}, with {@code ?factor=} for slow. */
  public void route(Jooby application) {
    application.post(
        "/control/{command}",
        context -> {
          String command = context.path("command").value();
          double factor = context.query("factor").doubleValue(1);
          boolean known = run(command, factor);
          return StandInServer.json(context, known ? OK : BAD, new Done(command));
        });
  }

  private boolean run(String command, double factor) {
    switch (command) {
      case "die" -> Runtime.getRuntime().halt(137);
      case "freeze" -> freeze.accept(true);
      case "thaw" -> freeze.accept(false);
      case "slow" -> slowDown.accept(factor);
      case "reset" -> reset.run();
      case "leave" -> leaving = true;
      default -> {
        return false;
      }
    }
    return true;
  }
}
