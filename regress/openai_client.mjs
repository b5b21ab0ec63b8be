// Checks that the unmodified OpenAI client library works with an instance, with
// and without streaming.  Guards against responses that only the tools of this
// project accept.
//
//   npm install --no-save openai
//   node regress/openai_client.mjs http://127.0.0.1:8101/v1 MODEL
import OpenAI from "openai";

const [baseURL, model] = process.argv.slice(2);
const client = new OpenAI({ baseURL, apiKey: "unused", maxRetries: 0 });
const messages = [{ role: "user", content: "draft a return reply" }];

function check(condition, what) {
  if (!condition) {
    console.error(`failed: ${what}`);
    process.exit(1);
  }
  console.log(`ok: ${what}`);
}

const models = await client.models.list();
check(models.data.some((m) => m.id === model), "model is listed");

const plain = await client.chat.completions.create({
  model, messages, max_tokens: 8,
});
check(plain.choices[0].message.content.length > 0, "plain chat completion");
check(plain.choices[0].finish_reason !== null, "finish reason");

let streamed = "";
let finish = null;
const stream = await client.chat.completions.create({
  model, messages, max_tokens: 8, stream: true,
});
for await (const chunk of stream) {
  streamed += chunk.choices[0]?.delta?.content ?? "";
  finish = chunk.choices[0]?.finish_reason ?? finish;
}
check(streamed === plain.choices[0].message.content,
  "streamed and plain responses are equal");
check(finish !== null, "finish reason of the stream");

const text = await client.completions.create({
  model, prompt: "status of parcel 7", max_tokens: 4,
});
check(text.choices[0].text.length > 0, "plain completion");

try {
  await client.chat.completions.create({ model: "no-such-model", messages });
  check(false, "unknown model is refused");
} catch (error) {
  check(error.status === 404, "unknown model is refused with 404");
}
