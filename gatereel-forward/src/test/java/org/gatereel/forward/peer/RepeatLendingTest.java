package org.gatereel.forward.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.gatereel.core.model.ServiceName;
import org.junit.jupiter.api.Test;

class RepeatLendingTest {
  @Test
  void aQuestionIsReadAsItWasWritten() {
    RepeatLending.Question question = new RepeatLending.Question(new ServiceName("a b&c=d"), 12);

    assertEquals(Optional.of(question), RepeatLending.read(RepeatLending.write(question)));
  }

  @Test
  void whatIsNoQuestionIsNone() {
    for (String target :
        new String[] {
          "/repeats",
          "/repeats?service=a",
          "/repeats?count=1",
          "/repeats?service=&count=1",
          "/repeats?service=a&count=0",
          "/repeats?service=a&count=-1",
          "/repeats?service=a&count=1001",
          "/repeats?service=a&count=many"
        }) {
      assertEquals(Optional.empty(), RepeatLending.read(target), target);
    }
  }

  @Test
  void anAnswerThatIsNoNumberLendsNothing() {
    assertEquals(3, answer("3\n"));
    assertEquals(0, answer("three"));
    assertEquals(0, answer("-3"));
    assertEquals(0, answer(""));
  }

  private static int answer(String text) {
    return RepeatLending.readAnswer(text.getBytes(StandardCharsets.UTF_8));
  }
}
