package org.gatereel.forward.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Optional;
import org.junit.jupiter.api.Test;

class PromptPartsTest {
  @Test
  void returnsThePartWithTheMostTokens() {
    assertEquals(Optional.of("b2"), PromptParts.largest("a1:200,b2:8000,c3:10"));
  }

  @Test
  void returnsTheLastOfPartsWithEqualTokens() {
    assertEquals(Optional.of("b2"), PromptParts.largest("a1:200, b2:200"));
  }

  @Test
  void ignoresMalformedParts() {
    assertEquals(Optional.of("c3"), PromptParts.largest("a1,b2:many,:7,c3:5,,"));
    assertEquals(Optional.empty(), PromptParts.largest("nonsense"));
    assertEquals(Optional.empty(), PromptParts.largest(null));
  }
}
